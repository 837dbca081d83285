#include "servers/relay/relay_retry_budget.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double Ratio = 0.2;
constexpr double Slack = 58.0;

TEST(RelayBudgetTest, TheSumOfAllNodesKeepsTheAllowanceWhateverTheirNumber)
{
    for (const int nodes : { 1, 3, 9, 12, 20, 76 }) {
        SteppedClock clock;
        std::vector<RelayBudget> budgets(nodes, RelayBudget({ Ratio, Slack, seconds(10) }));
        for (RelayBudget &budget : budgets) {
            budget.setNodes(nodes);
        }
        int requests = 0;
        int retryAllowance = 0;
        for (int step = 0; step < 10000; ++step) {
            clock.advance(milliseconds(1));
            RelayBudget &budget = budgets[static_cast<std::size_t>(step % nodes)];
            if (step % 10 == 0) {
                budget.noteRequest(clock.now());
                ++requests;
            }
            retryAllowance += budget.spend(clock.now()) ? 1 : 0;
        }
        EXPECT_LE(retryAllowance, Ratio * requests + Slack) << nodes << " nodes";
    }
}

TEST(RelayBudgetTest, NodesThatKnowNoOthersKeepTheAllowanceTogether)
{
    SteppedClock clock;
    int retryAllowance = 0;
    for (int node = 0; node < 82; ++node) {
        RelayBudget budget({ Ratio, Slack, seconds(10) });
        while (budget.spend(clock.now())) {
            ++retryAllowance;
        }
    }
    EXPECT_LE(retryAllowance, Slack);
}

TEST(RelayBudgetTest, RepeatsAreForgottenWithTheWindow)
{
    SteppedClock clock;
    RelayBudget budget({ Ratio, Slack, seconds(10) });
    budget.setNodes(9);
    while (budget.spend(clock.now())) { }
    clock.advance(seconds(9));
    EXPECT_FALSE(budget.spend(clock.now()));
    clock.advance(milliseconds(1001));
    EXPECT_TRUE(budget.spend(clock.now()));
}

} // namespace
} // namespace GeraniumLever
