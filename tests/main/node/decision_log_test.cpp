#include "main/node/decision_log.h"

#include <gtest/gtest.h>

#include "drivers/log/log.h"

namespace GeraniumLever {
namespace {

TEST(DecisionLogTest, WritesOneLineOfFieldsInOrder)
{
    const Decision decision { "grant", { { "request", "1-2" }, { "upstream", "e1" } } };
    EXPECT_EQ(formatDecision(decision), "decision=grant request=1-2 upstream=e1");
}

TEST(DecisionLogTest, KeepsTheLastLinesOldestFirst)
{
    DecisionLog log;
    for (const std::string number : { "1", "2", "3" }) {
        log.record({ "finish", { { "request", number } } });
    }
    const std::vector<std::string> expected { "decision=finish request=2", "decision=finish request=3" };
    EXPECT_EQ(log.last(2), expected);
    EXPECT_EQ(log.last(9).size(), 3u);
}

} // namespace
} // namespace GeraniumLever
