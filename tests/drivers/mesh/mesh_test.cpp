#include "drivers/mesh/mesh.h"

#include <functional>
#include <map>
#include <optional>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include "tests/drivers/mesh/message_samples.h"

namespace GeraniumLever {
namespace {

using Tcp = boost::asio::ip::tcp;

/** Timeout for expected events; far longer than they normally need. */
constexpr std::chrono::seconds WaitLimit { 30 };

/** A listening socket that never responds, like a frozen process, until it goes out of scope. */
class FrozenListener
{
public:
    explicit FrozenListener(const std::string &address)
        : acceptor_(context_, Tcp::endpoint(boost::asio::ip::make_address(address), 0))
    {
    }

    std::string address() const
    {
        return acceptor_.local_endpoint().address().to_string() + ":"
            + std::to_string(acceptor_.local_endpoint().port());
    }

private:
    boost::asio::io_context context_;
    Tcp::acceptor acceptor_;
};

std::string freeAddress(const std::string &host)
{
    return FrozenListener(host).address();
}

/** A mesh that records the events that it reports. */
class MeshNode
{
public:
    MeshNode(boost::asio::io_context &context,
             std::string name,
             std::string address,
             std::string key = "secret",
             Duration peerTimeout = WaitLimit)
        : peer { NodeName(std::move(name)), std::move(address) }
        , mesh(std::in_place,
               MeshSettings { peer.node, Incarnation(1), peer.address, std::move(key), peerTimeout },
               context,
               [this](Event event) { record(std::move(event)); })
    {
    }

    MeshPeer peer;
    std::map<NodeName, std::vector<PeerMessage>> received;
    std::map<NodeName, int> lost;
    std::optional<Mesh> mesh;

private:
    void record(Event event)
    {
        if (PeerReceived *message = std::get_if<PeerReceived>(&event)) {
            received[message->from].push_back(std::move(message->message));
            return;
        }
        ++lost[std::get<PeerLost>(event).node];
    }
};

class MeshTest : public testing::Test
{
protected:
    bool runUntil(const std::function<bool()> &condition)
    {
        std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() + WaitLimit;
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            context_.restart();
            context_.run_for(std::chrono::milliseconds(5));
        }
        return condition();
    }

    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_ { context_.get_executor() };
    MeshNode first_ { context_, "first", freeAddress("127.0.0.1") };
    MeshNode second_ { context_, "second", freeAddress("127.0.0.2") };
};

TEST_F(MeshTest, DeliversEveryMessageKindUnchangedAndInOrder)
{
    ASSERT_TRUE(succeeded(first_.mesh->start()));
    ASSERT_TRUE(succeeded(second_.mesh->start()));
    first_.mesh->setPeers({ first_.peer, second_.peer });
    second_.mesh->setPeers({ first_.peer });
    std::vector<PeerMessage> samples = messageSamples();
    for (const PeerMessage &message : samples) {
        first_.mesh->send(second_.peer.node, message);
        second_.mesh->send(first_.peer.node, message);
    }
    EXPECT_TRUE(runUntil([&]() {
        return second_.received[first_.peer.node].size() >= samples.size()
            && first_.received[second_.peer.node].size() >= samples.size();
    }));
    EXPECT_EQ(second_.received[first_.peer.node], samples);
    EXPECT_EQ(first_.received[second_.peer.node], samples);
}

TEST_F(MeshTest, DeliversALongQueueInOrder)
{
    constexpr std::uint64_t Count = 5000;
    ASSERT_TRUE(succeeded(first_.mesh->start()));
    ASSERT_TRUE(succeeded(second_.mesh->start()));
    first_.mesh->setPeers({ second_.peer });
    for (std::uint64_t number = 0; number < Count; ++number) {
        first_.mesh->send(second_.peer.node, TicketFetch { TicketNumber(number) });
    }
    std::vector<PeerMessage> &received = second_.received[first_.peer.node];
    EXPECT_TRUE(runUntil([&]() { return received.size() >= Count; }));
    for (std::uint64_t number = 0; number < Count; ++number) {
        ASSERT_EQ(received[number], PeerMessage(TicketFetch { TicketNumber(number) }));
    }
}

TEST_F(MeshTest, DeliversMessagesToItselfAndReportsUnknownPeersAsLost)
{
    ASSERT_TRUE(succeeded(first_.mesh->start()));
    first_.mesh->send(first_.peer.node, SnapshotFetch {});
    first_.mesh->send(NodeName("nobody"), SnapshotFetch {});
    EXPECT_TRUE(runUntil([&]() { return first_.lost[NodeName("nobody")] == 1; }));
    EXPECT_EQ(first_.received[first_.peer.node].size(), 1U);
}

TEST_F(MeshTest, RejectsAWrongKey)
{
    ASSERT_TRUE(succeeded(first_.mesh->start()));
    for (const std::string &key : { std::string("secrets"), std::string("Secret"), std::string() }) {
        MeshNode unauthorizedNode(context_, "unauthorized", freeAddress("127.0.0.3"), key);
        ASSERT_TRUE(succeeded(unauthorizedNode.mesh->start()));
        unauthorizedNode.mesh->setPeers({ first_.peer });
        unauthorizedNode.mesh->send(first_.peer.node, SnapshotFetch {});
        EXPECT_TRUE(runUntil([&]() { return unauthorizedNode.lost[first_.peer.node] >= 2; }));
        EXPECT_TRUE(first_.received[unauthorizedNode.peer.node].empty());
    }
}

TEST_F(MeshTest, ReportsALostPeerAndReconnects)
{
    ASSERT_TRUE(succeeded(first_.mesh->start()));
    ASSERT_TRUE(succeeded(second_.mesh->start()));
    first_.mesh->setPeers({ second_.peer });
    first_.mesh->send(second_.peer.node, TicketFetch { TicketNumber(1) });
    ASSERT_TRUE(runUntil([&]() { return !second_.received[first_.peer.node].empty(); }));

    second_.mesh.reset();
    ASSERT_TRUE(runUntil([&]() { return first_.lost[second_.peer.node] > 0; }));

    MeshNode restarted(context_, "second", second_.peer.address);
    ASSERT_TRUE(succeeded(restarted.mesh->start()));
    // Messages sent while disconnected are lost, so the message is sent repeatedly until one arrives.
    EXPECT_TRUE(runUntil([&]() {
        first_.mesh->send(restarted.peer.node, TicketFetch { TicketNumber(2) });
        return !restarted.received[first_.peer.node].empty();
    }));
    EXPECT_EQ(restarted.received[first_.peer.node].front(), PeerMessage(TicketFetch { TicketNumber(2) }));
    EXPECT_EQ(second_.received[first_.peer.node].size(), 1U);
}

TEST_F(MeshTest, AFrozenPeerDoesNotDelayOthers)
{
    FrozenListener frozen("127.0.0.4");
    MeshPeer frozenPeer { NodeName("frozen"), frozen.address() };
    ASSERT_TRUE(succeeded(first_.mesh->start()));
    ASSERT_TRUE(succeeded(second_.mesh->start()));
    first_.mesh->setPeers({ frozenPeer, second_.peer });
    first_.mesh->send(frozenPeer.node, SnapshotFetch {});
    first_.mesh->send(second_.peer.node, SnapshotFetch {});
    EXPECT_TRUE(runUntil([&]() { return !second_.received[first_.peer.node].empty(); }));
    EXPECT_EQ(first_.lost[frozenPeer.node], 0);
}

TEST_F(MeshTest, ReportsAFrozenPeerAsLost)
{
    FrozenListener frozen("127.0.0.4");
    MeshNode shortTimeoutNode(
        context_, "short-timeout", freeAddress("127.0.0.3"), "secret", std::chrono::milliseconds(50));
    ASSERT_TRUE(succeeded(shortTimeoutNode.mesh->start()));
    shortTimeoutNode.mesh->setPeers({ MeshPeer { NodeName("frozen"), frozen.address() } });
    EXPECT_TRUE(runUntil([&]() { return shortTimeoutNode.lost[NodeName("frozen")] > 0; }));
}

TEST_F(MeshTest, ReportsAFullQueueAsALostPeer)
{
    FrozenListener frozen("127.0.0.4");
    MeshPeer frozenPeer { NodeName("frozen"), frozen.address() };
    ASSERT_TRUE(succeeded(first_.mesh->start()));
    first_.mesh->setPeers({ frozenPeer });
    for (int count = 0; count < 17000; ++count) {
        first_.mesh->send(frozenPeer.node, SnapshotFetch {});
    }
    EXPECT_TRUE(runUntil([&]() { return first_.lost[frozenPeer.node] > 0; }));
}

TEST_F(MeshTest, ReportsAnAddressThatCannotBeBound)
{
    FrozenListener occupied("127.0.0.1");
    MeshNode node(context_, "late", occupied.address());
    EXPECT_FALSE(succeeded(node.mesh->start()));
    MeshNode malformed(context_, "malformed", "127.0.0.1:port");
    EXPECT_FALSE(succeeded(malformed.mesh->start()));
}

} // namespace
} // namespace GeraniumLever
