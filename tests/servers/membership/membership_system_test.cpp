#include "servers/membership/membership.h"

#include <iostream>
#include <map>
#include <set>

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::seconds;

constexpr Duration Step = std::chrono::milliseconds(500);

NodeAddress addressOf(const std::string &dataCenter, std::size_t index)
{
    const std::string name = dataCenter + "-" + std::to_string(index);
    return NodeAddress { NodeName(name), DataCenterName(dataCenter), "127.0.0.1:" + std::to_string(1000 + index), "" };
}

/** What one node has sent; messages to one peer in one step share a delivery. */
struct Sent
{
    std::size_t heartbeats = 0;
    std::size_t deliveries = 0;
};

/** Nodes that exchange heartbeats without delay. */
class Fleet
{
public:
    Fleet(std::size_t dataCenters, std::size_t nodesPerDataCenter)
    {
        std::vector<NodeAddress> addresses;
        for (std::size_t dataCenter = 0; dataCenter < dataCenters; ++dataCenter) {
            for (std::size_t index = 0; index < nodesPerDataCenter; ++index) {
                addresses.push_back(addressOf("dc" + std::to_string(dataCenter), index));
            }
        }
        for (const NodeAddress &address : addresses) {
            nodes_.emplace(address.node, MembershipSystem(address, Incarnation(1), addresses));
        }
    }

    MembershipSystem &node(const std::string &name) { return nodes_.at(NodeName(name)); }
    void kill(const std::string &name) { dead_.insert(NodeName(name)); }
    void setState(const std::string &name, NodeState state) { states_[NodeName(name)] = state; }
    const std::map<NodeName, Sent> &sent() const { return sent_; }
    void clearCounts() { sent_.clear(); }

    void run(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += Step) {
            clock_.advance(Step);
            tickAll();
        }
    }

private:
    void tickAll()
    {
        for (auto &[name, node] : nodes_) {
            if (dead_.count(name) > 0) {
                continue;
            }
            SelfDescription self;
            self.state = states_.count(name) > 0 ? states_[name] : NodeState::Ready;
            Commands commands;
            std::set<NodeName> targets;
            node.tick(self, clock_.now(), commands);
            for (const Command &command : commands) {
                const PeerSend &send = std::get<PeerSend>(command);
                Sent &sent = sent_[name];
                ++sent.heartbeats;
                sent.deliveries += targets.insert(send.to).second ? 1 : 0;
                if (dead_.count(send.to) == 0) {
                    nodes_.at(send.to).heartbeatReceived(std::get<Heartbeat>(send.message), clock_.now());
                }
            }
        }
    }

    SteppedClock clock_;
    std::map<NodeName, MembershipSystem> nodes_;
    std::map<NodeName, NodeState> states_;
    std::map<NodeName, Sent> sent_;
    std::set<NodeName> dead_;
};

TEST(RendezvousTest, LosingANodeMovesOnlyItsSubjects)
{
    const std::vector<NodeName> all { NodeName("a"), NodeName("b"), NodeName("c") };
    const std::vector<NodeName> fewer { NodeName("a"), NodeName("c") };
    std::map<NodeName, int> owned;
    for (int subject = 0; subject < 300; ++subject) {
        const NodeName owner = rendezvousOrder(all, std::to_string(subject)).front();
        ++owned[owner];
        if (owner != NodeName("b")) {
            EXPECT_EQ(rendezvousOrder(fewer, std::to_string(subject)).front(), owner);
        }
    }
    EXPECT_EQ(owned.size(), 3U);
}

TEST(MembershipSystemTest, EverybodyAgreesAndASilentNodeIsLostOnce)
{
    Fleet fleet(3, 3);
    fleet.run(seconds(3));
    const ShardKey shard { DataCenterName("dc1"), PoolName("letters"), 0 };
    const std::optional<NodeName> scheduler = fleet.node("dc0-0").schedulerFor(shard);
    ASSERT_TRUE(scheduler.has_value());
    EXPECT_EQ(fleet.node("dc2-2").schedulerFor(shard), scheduler);
    EXPECT_EQ(fleet.node("dc0-0").dataCenters().size(), 3U);
    EXPECT_EQ(fleet.node("dc0-0").readyNodes(DataCenterName("dc0")).size(), 3U);
    fleet.node("dc0-0").takeReadyNodesChanged();
    fleet.kill(scheduler->text());
    fleet.run(seconds(2));
    EXPECT_TRUE(fleet.node("dc0-0").takeLostPeers().empty());
    fleet.run(seconds(3));
    EXPECT_EQ(fleet.node("dc0-0").takeLostPeers(), std::vector<NodeName> { *scheduler });
    EXPECT_TRUE(fleet.node("dc0-0").takeReadyNodesChanged());
    EXPECT_FALSE(fleet.node("dc0-0").takeReadyNodesChanged());
    EXPECT_NE(fleet.node("dc0-0").schedulerFor(shard), scheduler);
    EXPECT_EQ(fleet.node("dc0-0").schedulerFor(shard), fleet.node("dc2-2").schedulerFor(shard));
}

TEST(MembershipSystemTest, ALeavingNodeIsToldAtOnceAndKeepsNoRole)
{
    Fleet fleet(1, 3);
    fleet.run(seconds(2));
    fleet.setState("dc0-1", NodeState::Leaving);
    fleet.run(Step);
    EXPECT_EQ(fleet.node("dc0-0").readyNodes(DataCenterName("dc0")).size(), 2U);
    EXPECT_FALSE(fleet.node("dc0-1").isDelegate());
    EXPECT_TRUE(fleet.node("dc0-0").takeLostPeers().empty());
    fleet.node("dc0-0").connectionLost(NodeName("dc0-1"), TimePoint());
    fleet.node("dc0-0").connectionLost(NodeName("dc0-2"), TimePoint());
    EXPECT_EQ(fleet.node("dc0-0").takeLostPeers(), std::vector<NodeName> { NodeName("dc0-1") });
}

TEST(MembershipSystemTest, ANewRunOfANodeCountsAsLossOfTheOldOne)
{
    MembershipSystem node(addressOf("dc0", 0), Incarnation(1), {});
    const TimePoint now(seconds(5));
    Heartbeat heartbeat;
    heartbeat.node = NodeName("dc0-1");
    heartbeat.dataCenter = DataCenterName("dc0");
    heartbeat.incarnation = Incarnation(7);
    heartbeat.sequence = 40;
    heartbeat.state = NodeState::Ready;
    node.heartbeatReceived(heartbeat, now);
    heartbeat.sequence = 39;
    heartbeat.state = NodeState::Leaving;
    node.heartbeatReceived(heartbeat, now);
    EXPECT_EQ(node.readyNodes(DataCenterName("dc0")).size(), 1U);
    heartbeat.incarnation = Incarnation(8);
    heartbeat.sequence = 1;
    node.heartbeatReceived(heartbeat, now);
    EXPECT_EQ(node.takeLostPeers(), std::vector<NodeName> { NodeName("dc0-1") });
}

TEST(MembershipSystemTest, TheVmListNamesCandidatesAndNeverRemovesALiveNode)
{
    MembershipSystem node(addressOf("dc0", 0), Incarnation(1), { addressOf("dc0", 1) });
    TimePoint now(seconds(5));
    node.vmListReceived(VmList { { VmEntry { "dc1-0", "127.0.0.9:1", DataCenterName("dc1"), true, false },
                                   VmEntry { "gpu-1", "127.0.0.9:2", DataCenterName("dc1"), false, false } } },
                        now);
    EXPECT_EQ(node.meshTargets().size(), 2U);
    EXPECT_TRUE(node.dataCenters().empty());
    Heartbeat heartbeat;
    heartbeat.node = NodeName("dc1-0");
    heartbeat.dataCenter = DataCenterName("dc1");
    heartbeat.sequence = 1;
    heartbeat.state = NodeState::Ready;
    node.heartbeatReceived(heartbeat, now);
    node.vmListReceived(VmList {}, now);
    Commands commands;
    node.tick(SelfDescription(), now, commands);
    EXPECT_EQ(node.dataCenters().size(), 1U);
    now += std::chrono::minutes(2);
    node.tick(SelfDescription(), now, commands);
    EXPECT_EQ(node.meshTargets().size(), 1U);
}

/** Bytes on the wire of one delivery to a peer with one heartbeat without pools, both directions of the call and the
 *  headers of its segments included, and of each further heartbeat of the same delivery. */
constexpr std::size_t DeliveryBytes = 612;
constexpr std::size_t FurtherHeartbeatBytes = 136;
/** What a node may spend on control, in bytes a second. */
constexpr std::size_t ControlBudget = 6 * 1024;

TEST(MembershipSystemTest, AtFleetSizeHeartbeatsStayWithinTheBudgetAndReachEveryDataCenter)
{
    constexpr std::size_t DataCenters = 12;
    constexpr std::size_t NodesEach = 32;
    constexpr std::size_t Seconds = 20;
    Fleet fleet(DataCenters, NodesEach);
    fleet.run(seconds(15));
    EXPECT_EQ(fleet.node("dc3-7").dataCenters().size(), DataCenters);
    EXPECT_EQ(fleet.node("dc3-7").readyNodes(DataCenterName("dc3")).size(), NodesEach);
    EXPECT_LT(fleet.node("dc3-7").meshTargets().size(), 2 * NodesEach);
    fleet.clearCounts();
    fleet.run(seconds(Seconds));
    std::size_t most = 0;
    std::size_t sum = 0;
    for (const auto &[name, sent] : fleet.sent()) {
        const std::size_t further = sent.heartbeats - sent.deliveries;
        const std::size_t bytes = (sent.deliveries * DeliveryBytes + further * FurtherHeartbeatBytes) / Seconds;
        most = std::max(most, bytes);
        sum += bytes;
    }
    std::cout << "bytes a second: mean " << sum / fleet.sent().size() << ", most " << most << "\n";
    EXPECT_LT(sum / fleet.sent().size(), ControlBudget);
    fleet.kill("dc4-0");
    fleet.kill("dc4-1");
    fleet.kill("dc4-2");
    fleet.run(seconds(40));
    EXPECT_EQ(fleet.node("dc3-7").dataCenters().size(), DataCenters);
    EXPECT_EQ(fleet.node("dc4-5").readyNodes(DataCenterName("dc4")).size(), NodesEach - 3);
}

} // namespace
} // namespace GeraniumLever
