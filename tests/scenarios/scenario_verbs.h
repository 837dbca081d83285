/** Verbs and expectations of the scenario language. */
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

/** Returns the verb with the name. Throws std::runtime_error if it does not exist. */
const ScenarioVerb &findVerb(const std::vector<ScenarioVerb> &table, const std::string &name);

} // namespace GeraniumLever
