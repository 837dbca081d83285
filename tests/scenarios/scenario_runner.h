/** Executes the statements of one scenario and checks its expectations. */
#pragma once

#include <string>
#include <vector>

#include "tests/scenarios/scenario_file.h"
#include "tests/scenarios/scenario_world.h"

namespace GeraniumLever {

class ScenarioRunner
{
public:
    explicit ScenarioRunner(Scenario scenario);

    /** Returns one line per failed expectation, followed by the last decisions; empty if the scenario passed. */
    std::vector<std::string> run();

    ScenarioWorld &world() { return world_; }
    Duration elapsed() const { return world_.now() - begin_; }
    TimePoint begin() const { return begin_; }

    /** Records a failed expectation. */
    void fail(const ScenarioStatement &statement, const std::string &what);

    /** Sends one call; docs/SCENARIOS.md describes the options. */
    void call(const std::map<std::string, std::string> &options, const std::string &name);

    /** Sends calls at the interval of the option "every" until the given time. number: number of the first call. */
    void load(const std::map<std::string, std::string> &options, TimePoint until, std::uint64_t number);

private:
    void executeStatement(const ScenarioStatement &statement);
    void checkFinalState();
    void checkNotRunClaim(const ScenarioCall &call, const std::vector<Execution> &executions);

    Scenario scenario_;
    ScenarioWorld world_;
    TimePoint begin_;
    std::vector<std::string> failures_;
};

} // namespace GeraniumLever
