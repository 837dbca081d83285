#include "servers/relay/peer_view.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PeerNode nodeOf(int number)
{
    const std::string name = "node-" + std::to_string(100 + number);
    return { NodeName(name), DataCenterName("dc"), "127.0.0.1:" + std::to_string(1000 + number) };
}

std::vector<PeerNode> nodesUpTo(int count)
{
    std::vector<PeerNode> nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number) {
        nodes.push_back(nodeOf(number));
    }
    return nodes;
}

PeerReport reportOf(int number, std::uint64_t sequence, std::uint64_t incarnation = 1)
{
    PeerReport report;
    report.node = nodeOf(number).node;
    report.incarnation = incarnation;
    report.sequence = sequence;
    report.sentAt = TimePoint(seconds(sequence));
    return report;
}

class PeerViewTest : public testing::Test
{
protected:
    PeerViewTest() : view_(nodeOf(0).node) { view_.updateNodes(nodesUpTo(9)); }

    SteppedClock clock_;
    PeerView view_;
};

TEST_F(PeerViewTest, OldAndUnlistedReportsAreIgnored)
{
    EXPECT_TRUE(view_.receive(reportOf(1, 5), clock_.now()));
    EXPECT_FALSE(view_.receive(reportOf(1, 4), clock_.now()));
    EXPECT_FALSE(view_.receive(reportOf(77, 1), clock_.now()));
    EXPECT_FALSE(view_.receive(reportOf(0, 1), clock_.now())) << "the own report";
    EXPECT_EQ(view_.lastSentAt(nodeOf(1).node), TimePoint(seconds(5)));
    EXPECT_TRUE(view_.receive(reportOf(1, 1, 2), clock_.now())) << "a new incarnation restarts the sequence";
    EXPECT_EQ(view_.livePeers(), 1U);
}

TEST_F(PeerViewTest, SilentPeerExpires)
{
    view_.receive(reportOf(1, 1), clock_.now());
    clock_.advance(PeerTimeout);
    view_.expire(clock_.now());
    EXPECT_EQ(view_.livePeers(), 1U);
    clock_.advance(milliseconds(1));
    view_.expire(clock_.now());
    EXPECT_EQ(view_.livePeers(), 0U);
    EXPECT_EQ(view_.lastSentAt(nodeOf(1).node), TimePoint());
}

TEST_F(PeerViewTest, ReportTargetsAreFewAndMutualForAnyFleetSize)
{
    for (const int count : { 1, 2, 3, 9, 82, 380 }) {
        const std::vector<PeerNode> nodes = nodesUpTo(count);
        std::map<NodeName, std::vector<PeerNode>> targets;
        for (const PeerNode &node : nodes) {
            PeerView view(node.node);
            view.updateNodes(nodes);
            targets[node.node] = view.targets();
            EXPECT_LE(targets[node.node].size(), 8U);
            EXPECT_EQ(targets[node.node].empty(), count == 1);
        }
        for (const PeerNode &node : nodes) {
            for (const PeerNode &other : targets[node.node]) {
                const std::vector<PeerNode> &back = targets[other.node];
                EXPECT_NE(std::find(back.begin(), back.end(), node), back.end());
            }
        }
    }
}

TEST_F(PeerViewTest, NodeThatIsNotListedYetReportsToOthers)
{
    PeerView view(NodeName("node-104x"));
    EXPECT_TRUE(view.targets().empty());
    view.updateNodes(nodesUpTo(9));
    EXPECT_EQ(view.targets().size(), 6U);
}

TEST_F(PeerViewTest, CountsListedNodes)
{
    EXPECT_EQ(view_.nodeCount(), 9U);
    EXPECT_EQ(PeerView(nodeOf(0).node).nodeCount(), std::nullopt);
    ASSERT_NE(view_.nodeAt("127.0.0.1:1003"), nullptr);
    EXPECT_EQ(view_.nodeAt("127.0.0.1:1003")->node, nodeOf(3).node);
    EXPECT_EQ(view_.nodeAt("127.0.0.1:9"), nullptr);
}

} // namespace
} // namespace GeraniumLever
