/** Tests with servers that are slow, stalled, or send what nobody waits for any more. */
#include "tests/main/relay/relay_node_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

class RelayPaceTest : public RelayNodeFixture
{
protected:
    RelayPaceTest()
    {
        writeConfiguration();
        addServer("p1", "plain", 32);
        addServer("e1", "engines", 32);
        addServer("e2", "engines", 32);
        startNode();
    }
};

TEST_F(RelayPaceTest, LateSecondResponseNeverReachesTheNextRequest)
{
    // The copy arrives while the connection is idle, or while a later request runs on it.
    for (const int gap : { 0, 5, 30, 60 }) {
        for (int number = 0; number < 12; ++number) {
            const std::string id = "r" + std::to_string(gap) + "-" + std::to_string(number);
            const std::string path = "/read/" + id;
            const ReceivedResponse response =
                sendRequest(request(id, "GET", path, "", "Stand-In: late gap=" + std::to_string(gap) + "\r\n"));
            EXPECT_EQ(response.status, 200U) << id;
            EXPECT_EQ(response.body, standInBody("GET", path, "")) << id;
            runFor(milliseconds(7 * (number % 8)));
        }
    }
}

TEST_F(RelayPaceTest, SlowButSoundStreamsAreNotCut)
{
    for (const std::string path : { "/stream/slow", "/live/slow" }) {
        const ReceivedResponse response =
            sendRequest(request("r" + path, "POST", path, "prompt", "Stand-In: events=4 gap=400\r\n"));
        EXPECT_TRUE(response.bodyComplete);
        EXPECT_EQ(response.body, standInEvents(path, "prompt", 4));
        EXPECT_EQ(ledger_["r" + path].size(), 1U) << path;
    }
}

TEST_F(RelayPaceTest, StalledStreamThatSendsAByteNowAndThenIsResumedElsewhere)
{
    const ReceivedResponse response =
        sendRequest(request("r1", "POST", "/live/1", "prompt", "Stand-In: events=8 gap=5 first trickle=3\r\n"));
    EXPECT_TRUE(response.bodyComplete);
    EXPECT_EQ(response.body, standInEvents("/live/1", "prompt", 8));
    ASSERT_EQ(ledger_["r1"].size(), 2U);
    EXPECT_NE(ledger_["r1"][0].server, ledger_["r1"][1].server);
}

TEST_F(RelayPaceTest, StalledStreamThatSendsAByteNowAndThenEndsAtTheTimeoutAndNeverLooksComplete)
{
    const std::shared_ptr<RawConnection> connection = connect();
    connection->send(request("r1", "POST", "/stream/1", "prompt", "Stand-In: events=8 gap=5 trickle=3\r\n"));
    runFor(milliseconds(2500));
    EXPECT_FALSE(connection->ended()) << "a pause alone is no reason to cut a stream that cannot be resumed";
    runFor(milliseconds(1000));
    EXPECT_TRUE(connection->ended());
    std::string bytes = connection->received();
    EXPECT_FALSE(takeResponse(bytes).bodyComplete);
    EXPECT_EQ(ledger_["r1"].size(), 1U);
    EXPECT_TRUE(runUntil([this]() { return servers_[1]->running() + servers_[2]->running() == 0; }));
}

/** Responses without events, which are forwarded once they are complete. */
class HeldBackResponseTest : public RelayPaceTest
{
protected:
    HeldBackResponseTest()
    {
        addServer("p2", "plain", 32);
        runFor(milliseconds(400));
    }

    void expectAnswerAfterRuns(const std::string &standIn, std::size_t runs)
    {
        const std::string prompt(199, 'p');
        const ReceivedResponse response =
            sendRequest(request("r1", "POST", "/read/1", prompt, "Stand-In: " + standIn + "\r\n"));
        EXPECT_EQ(response.status, 200U);
        EXPECT_EQ(response.body, standInBody("POST", "/read/1", prompt));
        EXPECT_EQ(ledger_["r1"].size(), runs);
        EXPECT_TRUE(runUntil([this]() { return servers_[0]->running() + servers_[3]->running() == 0; }));
    }
};

TEST_F(HeldBackResponseTest, ResponseThatArrivesSlowlyIsNotStartedAgainElsewhere)
{
    expectAnswerAfterRuns("pieces=12 gap=150", 1);
}

TEST_F(HeldBackResponseTest, ResponseThatWouldNotBeCompleteInTimeIsStartedAgainElsewhere)
{
    expectAnswerAfterRuns("first pieces=200 gap=100", 2);
}

TEST_F(HeldBackResponseTest, ResponseOfUnknownLengthThatSendsAByteNowAndThenIsStartedAgainElsewhere)
{
    expectAnswerAfterRuns("first unframed pieces=200 gap=100", 2);
}

TEST_F(HeldBackResponseTest, ResponseThatBreaksAfterItWasSlowIsReplaced)
{
    expectAnswerAfterRuns("gap=150 first pieces=12 cut=8", 2);
}

} // namespace
} // namespace GeraniumLever
