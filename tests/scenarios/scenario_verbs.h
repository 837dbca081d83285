/** The verbs of the scenario language, all in one table. */
#pragma once

#include <string>
#include <vector>

#include "tests/scenarios/scenario_runner.h"

namespace GeraniumLever {

struct ScenarioVerb
{
    std::string name;
    void (*run)(ScenarioRunner &runner, const ScenarioStatement &statement);
};

/** Verbs of `at TIME VERB`. */
const std::vector<ScenarioVerb> &scenarioVerbs();

/** Subjects of `expect SUBJECT`. */
const std::vector<ScenarioVerb> &scenarioExpectations();

/** The row with the name. Throws std::runtime_error if there is none. */
const ScenarioVerb &findVerb(const std::vector<ScenarioVerb> &table, const std::string &name);

} // namespace GeraniumLever
