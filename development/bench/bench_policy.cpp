#include "development/bench/bench_policy.h"

#include "development/bench/baseline_policy.h"
#include "development/bench/scheduler_policy.h"

namespace GeraniumLever {

namespace {

const std::string &underTest()
{
    static const std::string name = "geranium";
    return name;
}

std::vector<BaselineRules> baselines()
{
    return { { "fifo", false, false }, { "strict", true, false }, { "round-robin", false, true } };
}

} // namespace

std::vector<std::string> policyNames()
{
    std::vector<std::string> names { underTest() };
    for (const BaselineRules &rules : baselines()) {
        names.push_back(rules.name);
    }
    return names;
}

std::unique_ptr<BenchPolicy> makePolicy(const std::string &name, std::uint64_t number)
{
    for (const BaselineRules &rules : baselines()) {
        if (rules.name == name) {
            return std::make_unique<BaselinePolicy>(rules, number);
        }
    }
    return std::make_unique<SchedulerPolicy>(number);
}

bool isUnderTest(const std::string &name)
{
    return name == underTest();
}

} // namespace GeraniumLever
