#include <algorithm>
#include <filesystem>

#include <gtest/gtest.h>

#include "tests/scenarios/scenario_runner.h"
#include "tests/scenarios/scenario_verbs.h"

namespace GeraniumLever {
namespace {

std::vector<Scenario> readCases()
{
    std::vector<std::string> paths;
    for (const std::filesystem::directory_entry &entry : std::filesystem::directory_iterator(GERANIUM_SCENARIO_CASES)) {
        if (entry.path().extension() == ".scenario") {
            paths.push_back(entry.path().string());
        }
    }
    std::sort(paths.begin(), paths.end());
    std::vector<Scenario> cases;
    for (const std::string &path : paths) {
        std::vector<Scenario> runs = readScenarios(path);
        cases.insert(cases.end(), runs.begin(), runs.end());
    }
    return cases;
}

class ScenarioTest : public testing::TestWithParam<Scenario>
{
};

TEST_P(ScenarioTest, MeetsItsExpectations)
{
    ScenarioRunner runner(GetParam());
    std::string failures;
    for (const std::string &failure : runner.run()) {
        failures += failure + "\n";
    }
    EXPECT_TRUE(failures.empty()) << failures;
}

INSTANTIATE_TEST_SUITE_P(Cases,
                         ScenarioTest,
                         testing::ValuesIn(readCases()),
                         [](const testing::TestParamInfo<Scenario> &info) { return info.param.name; });

TEST(ScenarioFileTest, RefusesMalformedTimesAndUnknownVerbs)
{
    EXPECT_EQ(parseDuration("2s+5ms"), std::chrono::milliseconds(2005));
    EXPECT_THROW(parseDuration("2"), std::runtime_error);
    EXPECT_THROW(parseDuration("2h"), std::runtime_error);
    EXPECT_THROW(findVerb(scenarioVerbs(), "explode"), std::runtime_error);
}

} // namespace
} // namespace GeraniumLever
