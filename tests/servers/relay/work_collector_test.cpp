#include "servers/relay/work_collector.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

WorkReport reportOf(const std::string &node, std::uint64_t sequence, WorkAccount work, bool collected = false)
{
    return { NodeName(node), 1, sequence, collected, std::move(work) };
}

class WorkCollectorTest : public testing::Test
{
protected:
    SteppedClock clock_;
    WorkCollector sums_;
};

TEST_F(WorkCollectorTest, ANodeGetsTheSumOfAllOthers)
{
    EXPECT_TRUE(sums_.take(reportOf("a", 1, { { { 1, 2, 300, 40 } }, { { 200, 7 } } }), clock_.now()));
    EXPECT_TRUE(sums_.take(reportOf("b", 1, { { { 1, 1, 100, 0 }, { 2, 5, 50, 6 } }, { { 200, 1 } } }), clock_.now()));
    EXPECT_TRUE(sums_.take(reportOf("c", 1, { { { 2, 1, 1, 1 } }, { { 800, 9 } } }, true), clock_.now()));
    const WorkAccount expected { { { 1, 1, 100, 0 }, { 2, 6, 51, 7 } }, { { 200, 1 }, { 800, 9 } } };
    EXPECT_EQ(sums_.othersOf(NodeName("a")), expected);
    const WorkAccount direct { { { 1, 3, 400, 40 }, { 2, 5, 50, 6 } }, { { 200, 8 } } };
    EXPECT_EQ(sums_.collected(), direct) << "sums of other data centres are not passed on again";
}

TEST_F(WorkCollectorTest, AReportReplacesTheSendersLastOne)
{
    sums_.take(reportOf("a", 5, { { { 1, 2, 3, 4 } }, {} }), clock_.now());
    EXPECT_FALSE(sums_.take(reportOf("a", 4, { { { 1, 9, 9, 9 } }, {} }), clock_.now()));
    EXPECT_TRUE(sums_.take(reportOf("a", 6, { { { 2, 1, 1, 1 } }, {} }), clock_.now()));
    EXPECT_EQ(sums_.collected(), (WorkAccount { { { 2, 1, 1, 1 } }, {} }));
    WorkReport restarted = reportOf("a", 1, {});
    restarted.incarnation = 2;
    EXPECT_TRUE(sums_.take(restarted, clock_.now()));
    EXPECT_TRUE(sums_.collected().empty());
}

TEST_F(WorkCollectorTest, ANodeThatIsGoneCountsForNothing)
{
    sums_.take(reportOf("a", 1, { { { 1, 2, 3, 4 } }, {} }), clock_.now());
    clock_.advance(WorkReportPeriod * 5);
    sums_.take(reportOf("b", 1, { { { 2, 1, 1, 1 } }, {} }), clock_.now());
    sums_.expire(clock_.now());
    EXPECT_EQ(sums_.nodes(), 2U);
    clock_.advance(WorkReportPeriod * 2);
    sums_.expire(clock_.now());
    EXPECT_EQ(sums_.collected(), (WorkAccount { { { 2, 1, 1, 1 } }, {} }));
}

} // namespace
} // namespace GeraniumLever
