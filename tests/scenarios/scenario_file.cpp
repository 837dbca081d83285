#include "tests/scenarios/scenario_file.h"

#include <filesystem>
#include <fstream>
#include <optional>
#include <stdexcept>

#include <boost/algorithm/string.hpp>
#include <boost/lexical_cast.hpp>

namespace GeraniumLever {

namespace {

using Words = std::vector<std::string>;

/** A variable with one value per run. */
struct Sweep
{
    std::string name;
    Words values { "" };
};

struct Line
{
    std::size_t number = 0;
    Words words;
};

std::vector<Line> readLines(const std::string &path)
{
    std::ifstream file(path);
    std::vector<Line> lines;
    std::string text;
    for (std::size_t number = 1; std::getline(file, text); ++number) {
        text = text.substr(0, text.find('#'));
        boost::trim(text);
        if (text.empty()) {
            continue;
        }
        Line line { number, {} };
        boost::split(line.words, text, boost::is_space(), boost::token_compress_on);
        lines.push_back(std::move(line));
    }
    return lines;
}

/** "sweep NAME FIRST LAST STEP" in durations. */
Sweep readSweep(const Words &words)
{
    Sweep sweep { words.at(1), {} };
    Duration step = parseDuration(words.at(4));
    for (Duration value = parseDuration(words.at(2)); value <= parseDuration(words.at(3)); value += step) {
        sweep.values.push_back(std::to_string(value.count()) + "us");
    }
    return sweep;
}

void splitOptions(const Words &words, std::size_t first, ScenarioStatement &statement)
{
    for (std::size_t index = first; index < words.size(); ++index) {
        std::size_t equals = words[index].find('=');
        if (equals == std::string::npos) {
            statement.words.push_back(words[index]);
        } else {
            statement.options[words[index].substr(0, equals)] = words[index].substr(equals + 1);
        }
    }
}

/** "at TIME VERB ...", or "expect ...", which is checked at the end of the run. */
ScenarioStatement readStatement(const Line &line)
{
    ScenarioStatement statement;
    statement.line = line.number;
    statement.at = Duration::max();
    std::size_t verb = 0;
    if (line.words.front() == "at") {
        statement.at = parseDuration(line.words.at(1));
        verb = 2;
    } else if (line.words.front() != "expect") {
        throw std::runtime_error("unknown statement " + line.words.front());
    }
    statement.verb = line.words.at(verb);
    splitOptions(line.words, verb + 1, statement);
    return statement;
}

Scenario readRun(
    const std::string &name, std::vector<Line> lines, std::uint64_t seed, const Sweep &sweep, const std::string &value)
{
    Scenario scenario;
    scenario.name = name;
    scenario.seed = seed;
    for (Line &line : lines) {
        for (std::string &word : line.words) {
            boost::replace_all(word, "$" + sweep.name, value);
        }
        const std::string &kind = line.words.front();
        if (kind == "seeds" || kind == "sweep") {
            continue;
        }
        if (kind == "site") {
            ScenarioStatement site;
            splitOptions(line.words, 1, site);
            scenario.site = site.options;
        } else if (kind == "end") {
            scenario.end = parseDuration(line.words.at(1));
        } else {
            scenario.statements.push_back(readStatement(line));
        }
    }
    return scenario;
}

} // namespace

std::ostream &operator<<(std::ostream &stream, const Scenario &scenario)
{
    return stream << scenario.name;
}

Duration parseDuration(const std::string &text)
{
    Duration total { 0 };
    Words parts;
    boost::split(parts, text, boost::is_any_of("+"));
    for (const std::string &part : parts) {
        std::size_t unit = part.find_first_not_of("0123456789");
        if (unit == 0 || unit == std::string::npos) {
            throw std::runtime_error("malformed time " + text);
        }
        Duration::rep number = boost::lexical_cast<Duration::rep>(part.substr(0, unit));
        std::string name = part.substr(unit);
        if (name == "us") {
            total += std::chrono::microseconds(number);
        } else if (name == "ms") {
            total += std::chrono::milliseconds(number);
        } else if (name == "s") {
            total += std::chrono::seconds(number);
        } else {
            throw std::runtime_error("unknown unit in " + text);
        }
    }
    return total;
}

std::vector<Scenario> readScenarios(const std::string &path)
{
    std::string name = std::filesystem::path(path).stem().string();
    std::vector<Line> lines = readLines(path);
    Words seeds { "1" };
    Sweep sweep;
    std::vector<Scenario> scenarios;
    std::size_t current = 0;
    try {
        for (const Line &line : lines) {
            current = line.number;
            if (line.words.front() == "seeds") {
                seeds.assign(line.words.begin() + 1, line.words.end());
            } else if (line.words.front() == "sweep") {
                sweep = readSweep(line.words);
            }
        }
        for (const std::string &seed : seeds) {
            for (const std::string &value : sweep.values) {
                std::string run = name + "_seed" + seed + (value.empty() ? "" : "_" + value);
                scenarios.push_back(readRun(run, lines, boost::lexical_cast<std::uint64_t>(seed), sweep, value));
            }
        }
    } catch (const std::exception &error) {
        throw std::runtime_error(path + ": near line " + std::to_string(current) + ": " + error.what());
    }
    return scenarios;
}

} // namespace GeraniumLever
