#include "servers/relay/work_exchange.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

const WorkAccount ownWork { { { 1, 2, 300, 40 } }, { { 200, 7 } } };

PeerNode nodeOf(const std::string &name, const std::string &dataCenter, double share = 0.2)
{
    return { NodeName(name), DataCenterName(dataCenter), "address-of-" + name, share };
}

class WorkExchangeTest : public testing::Test
{
protected:
    static WorkExchange exchangeOf(const std::string &name, const std::string &dataCenter)
    {
        WorkExchange exchange(NodeName(name), DataCenterName(dataCenter), 1);
        exchange.updateNodes(nodes());
        return exchange;
    }

    static std::vector<PeerNode> nodes()
    {
        return { nodeOf("a1", "a"),      nodeOf("a2", "a", 0.5), nodeOf("a3", "a"), nodeOf("a4", "a", 0.5),
                 nodeOf("a5", "a", 0.1), nodeOf("b1", "b"),      nodeOf("b2", "b"), nodeOf("b3", "b") };
    }

    NodeName collectorOf(const WorkExchange &exchange) const { return exchange.collector(clock_.now())->node; }

    SteppedClock clock_;
};

TEST_F(WorkExchangeTest, AllNodesOfADataCentreChooseTheSameStrongNode)
{
    const NodeName chosen = collectorOf(exchangeOf("a1", "a"));
    EXPECT_TRUE(chosen == NodeName("a2") || chosen == NodeName("a4"));
    EXPECT_EQ(collectorOf(exchangeOf("a5", "a")), chosen);
    EXPECT_EQ(collectorOf(exchangeOf("b1", "b")), collectorOf(exchangeOf("b3", "b")));
}

TEST_F(WorkExchangeTest, WithoutAListNothingIsSent)
{
    WorkExchange exchange(NodeName("a1"), DataCenterName("a"), 1);
    EXPECT_TRUE(exchange.report(ownWork, clock_.now()).empty());
    EXPECT_EQ(exchange.ownTotals(), std::nullopt);
}

TEST_F(WorkExchangeTest, TheCollectorAnswersWithTheOthersWork)
{
    WorkExchange node = exchangeOf("a1", "a");
    WorkExchange collector = exchangeOf(collectorOf(node).text(), "a");
    collector.report(ownWork, clock_.now());
    const std::vector<OutgoingWorkReport> sent = node.report(ownWork, clock_.now());
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].address, "address-of-" + collectorOf(node).text());
    const std::optional<WorkTotals> totals = collector.take(sent[0].report, clock_.now());
    ASSERT_TRUE(totals.has_value());
    EXPECT_EQ(totals->others, ownWork) << "the collector's own";
    EXPECT_TRUE(node.take(*totals));
    EXPECT_EQ(collector.ownTotals(), ownWork) << "the node's";
    node.report(ownWork, clock_.now());
    EXPECT_FALSE(node.take(*totals)) << "an answer to an earlier report is out of date";
    EXPECT_FALSE(node.take(WorkTotals { NodeName("stranger"), 2, {} }));
}

TEST_F(WorkExchangeTest, SumsGoToTheOtherDataCentresAndNoFurther)
{
    WorkExchange collector = exchangeOf(collectorOf(exchangeOf("a1", "a")).text(), "a");
    const std::vector<OutgoingWorkReport> sent = collector.report(ownWork, clock_.now());
    ASSERT_EQ(sent.size(), 2U);
    WorkExchange remote = exchangeOf(collectorOf(exchangeOf("b1", "b")).text(), "b");
    for (const OutgoingWorkReport &message : sent) {
        EXPECT_TRUE(message.report.collected);
        EXPECT_EQ(remote.take(message.report, clock_.now()), std::nullopt);
    }
    for (const OutgoingWorkReport &message : remote.report(ownWork, clock_.now())) {
        EXPECT_EQ(message.report.work, ownWork) << "only of its own data centre";
    }
    EXPECT_EQ(remote.ownTotals(), ownWork);
}

TEST_F(WorkExchangeTest, ASilentCollectorIsPassedOverForAWhile)
{
    WorkExchange node = exchangeOf("a1", "a");
    const NodeName first = collectorOf(node);
    for (int period = 0; period < 4; ++period) {
        EXPECT_EQ(collectorOf(node), first) << period;
        node.report(ownWork, clock_.now());
        clock_.advance(WorkReportPeriod);
    }
    EXPECT_NE(collectorOf(node), first);
    clock_.advance(std::chrono::seconds(6));
    EXPECT_EQ(collectorOf(node), first);
}

TEST_F(WorkExchangeTest, ANodeWhoseCollectorsAreAllSilentCollectsItself)
{
    WorkExchange node = exchangeOf("a5", "a");
    for (int period = 0; period < 20; ++period) {
        node.report(ownWork, clock_.now());
        clock_.advance(WorkReportPeriod);
    }
    EXPECT_EQ(collectorOf(node), NodeName("a5"));
    EXPECT_EQ(node.ownTotals(), WorkAccount {});
}

} // namespace
} // namespace GeraniumLever
