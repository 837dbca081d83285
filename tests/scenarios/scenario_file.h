/** Parser of scenario files: one statement per line, words separated by blanks, `#` starts a comment. */
#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** One statement. docs/SCENARIOS.md describes all of them. */
struct ScenarioStatement
{
    std::size_t line = 0;
    /** Time since the site became ready; Duration::max() for the end of the run. */
    Duration at { 0 };
    std::string verb;
    /** Words without '='. */
    std::vector<std::string> words;
    /** Words of the form name=value. */
    std::map<std::string, std::string> options;

    bool operator==(const ScenarioStatement &) const = default;
};

/** One run of a scenario: a file with one seed and one value of its sweep. */
struct Scenario
{
    std::string name;
    std::uint64_t seed = 1;
    std::map<std::string, std::string> site;
    std::vector<ScenarioStatement> statements;
    Duration end { 0 };

    bool operator==(const Scenario &) const = default;
};

/** Prints the name of the run in GoogleTest's output. */
std::ostream &operator<<(std::ostream &stream, const Scenario &scenario);

/** Returns every run that a file describes. Throws std::runtime_error with file name and line if malformed. */
std::vector<Scenario> readScenarios(const std::string &path);

/** Parses "500us", "5ms", "2s" and sums such as "2s+5ms". Throws std::runtime_error if malformed. */
Duration parseDuration(const std::string &text);

} // namespace GeraniumLever
