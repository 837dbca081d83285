/** Tests with callers that leave so much of a stream unread that the node stops reading from its upstream. */
#include "tests/main/relay/relay_node_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

/** More than the node and both sockets of the caller's connection hold. */
constexpr int Events = 40000;

class RelayBacklogTest : public RelayNodeFixture
{
protected:
    RelayBacklogTest()
    {
        writeConfiguration();
        addServer("e1", "engines", 32);
        addServer("e2", "engines", 32);
        startNode();
    }

    /** Sends a request for a long stream, and reads only its beginning. */
    void beginStream(const std::string &path)
    {
        connection_ = connect();
        connection_->send(
            request("r1", "POST", path, "prompt", "Stand-In: events=" + std::to_string(Events) + " gap=0\r\n"));
        ASSERT_TRUE(runUntil([this]() { return connection_->has("id: 1\n"); }));
        connection_->pauseReading();
    }

    /** The server that the stream has not begun at. */
    ServerStandIn &otherServer() { return *servers_[ledger_["r1"].front().server == "e1" ? 1 : 0]; }

    ReceivedResponse readRest()
    {
        connection_->startReading();
        EXPECT_TRUE(
            runUntil([this]() { return connection_->ended() || connection_->received().ends_with("0\r\n\r\n"); }));
        std::string bytes = connection_->received();
        return takeResponse(bytes);
    }

    std::shared_ptr<RawConnection> connection_;
};

TEST_F(RelayBacklogTest, StreamThatItsCallerPausedIsNotCutWhenAnotherUpstreamTurnsItAway)
{
    beginStream("/live/1");
    otherServer().pause("1");
    runFor(milliseconds(1300));
    const ReceivedResponse response = readRest();
    EXPECT_TRUE(response.bodyComplete) << "bytes received: " << connection_->received().size();
    EXPECT_TRUE(response.body == standInEvents("/live/1", "prompt", Events));
}

TEST_F(RelayBacklogTest, StreamThatItsCallerPausedStaysAtItsUpstream)
{
    beginStream("/live/1");
    runFor(milliseconds(1300));
    EXPECT_TRUE(otherServer().arrivals().empty());
    const ReceivedResponse response = readRest();
    EXPECT_TRUE(response.body == standInEvents("/live/1", "prompt", Events));
    EXPECT_EQ(ledger_["r1"].size(), 1U);
}

TEST_F(RelayBacklogTest, StreamThatItsCallerPausedEndsAtItsDeadline)
{
    beginStream("/live/1");
    runFor(milliseconds(2800));
    const ReceivedResponse response = readRest();
    EXPECT_TRUE(connection_->ended());
    EXPECT_FALSE(response.bodyComplete);
}

} // namespace
} // namespace GeraniumLever
