#include "servers/relay/peer_view.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PeerNode nodeOf(int number, const std::string &dataCenter = "a")
{
    const std::string name = dataCenter + std::to_string(number);
    return { NodeName(name), DataCenterName(dataCenter), "127.0.0.1:" + std::to_string(1000 + number) };
}

PeerReport reportOf(const PeerNode &node, std::uint64_t sequence, std::uint32_t requests)
{
    PeerReport report;
    report.node = node.node;
    report.incarnation = 1;
    report.sequence = sequence;
    report.counts = { { peerHashOf(UpstreamName("u")), requests } };
    return report;
}

class PeerViewTest : public testing::Test
{
protected:
    PeerViewTest() : view_(NodeName("a0"), DataCenterName("a"))
    {
        view_.learnNodes({ nodeOf(0), nodeOf(1), nodeOf(2) });
    }

    SteppedClock clock_;
    PeerView view_;
};

TEST_F(PeerViewTest, AddsUpWhatThePeersReport)
{
    EXPECT_EQ(view_.requestsAt(UpstreamName("u")), std::nullopt);
    view_.take(reportOf(nodeOf(1), 1, 3), clock_.now());
    view_.take(reportOf(nodeOf(2), 1, 4), clock_.now());
    EXPECT_EQ(view_.requestsAt(UpstreamName("u")), 7.0);
    view_.take(reportOf(nodeOf(1), 2, 1), clock_.now());
    EXPECT_EQ(view_.requestsAt(UpstreamName("u")), 5.0);
    EXPECT_EQ(view_.requestsAt(UpstreamName("v")), 0.0);
}

TEST_F(PeerViewTest, OldAndUnlistedReportsChangeNothing)
{
    EXPECT_TRUE(view_.take(reportOf(nodeOf(1), 5, 3), clock_.now()));
    EXPECT_FALSE(view_.take(reportOf(nodeOf(1), 4, 9), clock_.now()));
    EXPECT_FALSE(view_.take(reportOf(nodeOf(7), 1, 9), clock_.now()));
    EXPECT_FALSE(view_.take(reportOf(nodeOf(0), 1, 9), clock_.now()));
    PeerReport restarted = reportOf(nodeOf(1), 1, 2);
    restarted.incarnation = 2;
    EXPECT_TRUE(view_.take(restarted, clock_.now()));
    EXPECT_EQ(view_.heard(), 1U);
}

TEST_F(PeerViewTest, ASilentPeerCountsForNothing)
{
    view_.take(reportOf(nodeOf(1), 1, 3), clock_.now());
    clock_.advance(seconds(1));
    view_.take(reportOf(nodeOf(2), 1, 4), clock_.now());
    clock_.advance(PeerTimeout - seconds(1) + milliseconds(1));
    view_.expire(clock_.now());
    EXPECT_EQ(view_.heard(), 1U);
    EXPECT_EQ(view_.requestsAt(UpstreamName("u")), 8.0) << "the one that is heard stands for the other, too";
}

TEST_F(PeerViewTest, LargeFleetsExchangeReportsWithinADataCenterOnly)
{
    std::vector<PeerNode> nodes;
    for (int number = 0; number < 30; ++number) {
        nodes.push_back(nodeOf(number, "a"));
        nodes.push_back(nodeOf(number, "b"));
    }
    view_.learnNodes(nodes);
    EXPECT_EQ(view_.targets().size(), 29U);
    EXPECT_EQ(view_.nodeCount(), 60U);
    for (int number = 1; number < 30; ++number) {
        view_.take(reportOf(nodeOf(number, "a"), 1, 1), clock_.now());
    }
    EXPECT_DOUBLE_EQ(*view_.requestsAt(UpstreamName("u")), 59.0);
}

} // namespace
} // namespace GeraniumLever
