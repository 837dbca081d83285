/** Carries out the statements of one scenario. */
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

    /** Every expectation that did not hold, with its line and, once, the last decisions; empty if all is well. */
    std::vector<std::string> run();

    ScenarioWorld &world() { return world_; }
    Duration elapsed() const { return world_.now() - begin_; }
    TimePoint begin() const { return begin_; }

    /** Notes that an expectation did not hold. */
    void fail(const ScenarioStatement &statement, const std::string &what);

    /** Makes a call; see docs/SCENARIOS.md for its options. */
    void call(const std::map<std::string, std::string> &options, const std::string &name);

    /** Makes calls every so often until a time. */
    void load(const std::map<std::string, std::string> &options, TimePoint until, std::uint64_t number);

private:
    void carryOut(const ScenarioStatement &statement);
    void checkAtTheEnd();
    void checkTruthOfNotRun(const ScenarioCall &call, const std::vector<Execution> &executions);

    Scenario scenario_;
    ScenarioWorld world_;
    TimePoint begin_;
    std::vector<std::string> failures_;
};

} // namespace GeraniumLever
