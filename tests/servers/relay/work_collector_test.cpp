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
    WorkCollector collector_;
};

TEST_F(WorkCollectorTest, NodeGetsTotalOfAllOthers)
{
    EXPECT_TRUE(collector_.receive(reportOf("a", 1, { { { 1, 2, 300, 40 } }, { { 200, 7 } } }), clock_.now()));
    EXPECT_TRUE(
        collector_.receive(reportOf("b", 1, { { { 1, 1, 100, 0 }, { 2, 5, 50, 6 } }, { { 200, 1 } } }), clock_.now()));
    EXPECT_TRUE(collector_.receive(reportOf("c", 1, { { { 2, 1, 1, 1 } }, { { 800, 9 } } }, true), clock_.now()));
    const WorkAccount expected { { { 1, 1, 100, 0 }, { 2, 6, 51, 7 } }, { { 200, 1 }, { 800, 9 } } };
    EXPECT_EQ(collector_.workOfOthers(NodeName("a")), expected);
    const WorkAccount direct { { { 1, 3, 400, 40 }, { 2, 5, 50, 6 } }, { { 200, 8 } } };
    EXPECT_EQ(collector_.collected(), direct) << "totals of other data centres are not forwarded";
}

TEST_F(WorkCollectorTest, ReportReplacesPreviousOne)
{
    collector_.receive(reportOf("a", 5, { { { 1, 2, 3, 4 } }, {} }), clock_.now());
    EXPECT_FALSE(collector_.receive(reportOf("a", 4, { { { 1, 9, 9, 9 } }, {} }), clock_.now()));
    EXPECT_TRUE(collector_.receive(reportOf("a", 6, { { { 2, 1, 1, 1 } }, {} }), clock_.now()));
    EXPECT_EQ(collector_.collected(), (WorkAccount { { { 2, 1, 1, 1 } }, {} }));
    WorkReport restarted = reportOf("a", 1, {});
    restarted.incarnation = 2;
    EXPECT_TRUE(collector_.receive(restarted, clock_.now()));
    EXPECT_TRUE(collector_.collected().empty());
}

TEST_F(WorkCollectorTest, WorkOfSilentNodeExpires)
{
    collector_.receive(reportOf("a", 1, { { { 1, 2, 3, 4 } }, {} }), clock_.now());
    clock_.advance(WorkReportPeriod * 5);
    collector_.receive(reportOf("b", 1, { { { 2, 1, 1, 1 } }, {} }), clock_.now());
    collector_.expire(clock_.now());
    EXPECT_EQ(collector_.nodes(), 2U);
    clock_.advance(WorkReportPeriod * 2);
    collector_.expire(clock_.now());
    EXPECT_EQ(collector_.collected(), (WorkAccount { { { 2, 1, 1, 1 } }, {} }));
}

} // namespace
} // namespace GeraniumLever
