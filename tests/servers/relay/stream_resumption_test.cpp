/** Tests how a relay system continues streams that callers take up again. */
#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class StreamResumptionTest : public RelayFixture
{
protected:
    StreamResumptionTest()
    {
        upstreams_[0].version = "v1";
        upstreams_[1].version = "v2";
        configure();
    }

    RequestId takeUp(const std::string &stream, const std::string &path = "/live/1")
    {
        RelayRequest request;
        request.request = RequestId(1, ++lastRequest_);
        request.callerId = std::to_string(lastRequest_);
        request.host = "a.example";
        request.path = path;
        request.key = "key-one";
        request.lastEventId = "3";
        request.resumedRequest = stream;
        system_.arrived(request, clock_.now(), commands_);
        return request.request;
    }

    /** Messages of one type to other nodes. */
    template<typename Message>
    std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (const RelayCommand &command : commands_) {
            const OutgoingStreamMessage *outgoing = std::get_if<OutgoingStreamMessage>(&command);
            if (outgoing != nullptr && std::holds_alternative<Message>(outgoing->message)) {
                found.push_back(std::get<Message>(outgoing->message));
            }
        }
        return found;
    }

    void reply(const std::string &node, const std::string &stream, const std::optional<StreamOrigin> &origin)
    {
        system_.streamReplyReceived({ NodeName(node), stream, origin }, clock_.now(), commands_);
    }

    /** All nodes that may be asked answer that they do not know. */
    void replyUnknown(const std::string &stream)
    {
        for (int number = 0; number < 9; ++number) {
            reply("node-" + std::to_string(number), stream, std::nullopt);
        }
    }

    /** Upstream lists arrive for this long. */
    void listFor(int count)
    {
        for (int second = 0; second < count; ++second) {
            advance(seconds(1));
            readStore();
        }
    }

    const StreamOrigin first_ { PoolName("engines"), "v1" };
    const StreamOrigin second_ { PoolName("engines"), "v2" };
};

TEST_F(StreamResumptionTest, OriginIsSharedBeforeTheResponseIsForwarded)
{
    const RequestId request = arrive("/live/1");
    EXPECT_TRUE(sent<StreamRecord>().empty());
    answer(request);
    const std::vector<StreamRecord> records = sent<StreamRecord>();
    ASSERT_EQ(records.size(), 2U) << "all nodes of the fixture are in one data centre";
    EXPECT_EQ(records[0].stream, std::to_string(lastRequest_));
    EXPECT_EQ(records[0].origin.version, dispatches(request)[0].upstream == UpstreamName("e1") ? "v1" : "v2");
    EXPECT_TRUE(std::holds_alternative<RelayForward>(commands_.back()));
}

TEST_F(StreamResumptionTest, OtherResponsesAreNotShared)
{
    answer(arrive("/stream/1"));
    answer(arrive("/read/1"));
    answer(arrive("/live/1"), 404);
    EXPECT_TRUE(sent<StreamRecord>().empty());
}

TEST_F(StreamResumptionTest, StreamGoesOnAtTheVersionThatPeersName)
{
    for (const StreamOrigin &origin : { first_, second_ }) {
        for (int count = 0; count < 4; ++count) {
            const std::string stream = origin.version + std::to_string(count);
            const RequestId request = takeUp(stream);
            EXPECT_TRUE(dispatches(request).empty());
            reply("node-1", stream, origin);
            ASSERT_EQ(dispatches(request).size(), 1U);
            EXPECT_EQ(dispatches(request)[0].upstream, UpstreamName(origin.version == "v1" ? "e1" : "e2"));
            end(request);
        }
    }
}

TEST_F(StreamResumptionTest, ContinuedStreamIsSharedUnderItsFirstRequest)
{
    const RequestId request = takeUp("begun");
    reply("node-1", "begun", second_);
    answer(request);
    ASSERT_EQ(sent<StreamRecord>().size(), 2U);
    EXPECT_EQ(sent<StreamRecord>()[0].stream, "begun");
    EXPECT_EQ(sent<StreamRecord>()[0].origin, second_);
    const RequestId again = takeUp("begun");
    ASSERT_EQ(dispatches(again).size(), 1U) << "known to this node";
    EXPECT_EQ(dispatches(again)[0].upstream, UpstreamName("e2"));
}

TEST_F(StreamResumptionTest, StreamThatNoNodeKnowsIsRejectedWhileTwoVersionsServe)
{
    listFor(30);
    const RequestId request = takeUp("lost");
    replyUnknown("lost");
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::NotRun);
    EXPECT_EQ(refusals(request)[0].error.code, ResultCode::StreamOriginUnknown);
    EXPECT_TRUE(refusals(request)[0].error.retryAfter.has_value());
    EXPECT_TRUE(dispatches(request).empty());
}

TEST_F(StreamResumptionTest, SilentPeersAreAskedAgainAndNotAwaitedForLong)
{
    const RequestId request = takeUp("lost");
    const std::size_t asked = sent<StreamQuery>().size();
    advance(milliseconds(60));
    tick();
    EXPECT_EQ(sent<StreamQuery>().size(), 2 * asked);
    EXPECT_TRUE(refusals(request).empty());
    advance(milliseconds(100));
    tick();
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].error.code, ResultCode::StreamOriginUnknown);
    reply("node-1", "lost", first_);
    EXPECT_TRUE(dispatches(request).empty());
}

TEST_F(StreamResumptionTest, UnknownStreamGoesOnIfOnlyOneVersionHasServed)
{
    upstreams_[1].version = "v1";
    listFor(19);
    const RequestId early = takeUp("lost");
    replyUnknown("lost");
    EXPECT_EQ(refusals(early).size(), 1U);
    listFor(2);
    const RequestId request = takeUp("lost");
    replyUnknown("lost");
    EXPECT_EQ(dispatches(request).size(), 1U);
}

TEST_F(StreamResumptionTest, StreamThatItsCallerDoesNotNameGoesOnOnlyWhereOneVersionIsListed)
{
    EXPECT_EQ(refusals(takeUp("")).size(), 1U);
    upstreams_[1].version = "v1";
    listFor(1);
    EXPECT_EQ(dispatches(takeUp("")).size(), 1U);
    EXPECT_TRUE(sent<StreamQuery>().empty());
}

TEST_F(StreamResumptionTest, NodeThatIsCutOffDoesNotTrustItsOwnView)
{
    upstreams_[1].version = "v1";
    listFor(30);
    const RequestId request = takeUp("lost");
    advance(StreamLookupTimeout);
    tick();
    EXPECT_EQ(refusals(request).size(), 1U);
    EXPECT_TRUE(dispatches(request).empty());
}

TEST_F(StreamResumptionTest, StreamWhoseVersionIsGoneIsRejectedAtOnce)
{
    const RequestId request = takeUp("begun");
    reply("node-1", "begun", StreamOrigin { PoolName("engines"), "v0" });
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::NotRun);
}

TEST_F(StreamResumptionTest, StreamOfAPoolThatTheRouteHasLeftIsRejected)
{
    const RequestId request = takeUp("begun");
    reply("node-1", "begun", StreamOrigin { PoolName("plain"), "" });
    EXPECT_EQ(refusals(request).size(), 1U);
    EXPECT_TRUE(dispatches(request).empty());
}

TEST_F(StreamResumptionTest, CallerMayLeaveDuringTheLookup)
{
    const RequestId request = takeUp("begun");
    disconnect(request);
    EXPECT_FALSE(system_.knows(request));
    reply("node-1", "begun", first_);
    EXPECT_TRUE(dispatches(request).empty());
    EXPECT_EQ(system_.inFlight(), 0U);
}

TEST_F(StreamResumptionTest, EveryRequestThatWaitsForTheSameStreamGoesOn)
{
    const RequestId one = takeUp("begun");
    const RequestId two = takeUp("begun");
    reply("node-1", "begun", first_);
    EXPECT_EQ(dispatches(one).size(), 1U);
    EXPECT_EQ(dispatches(two).size(), 1U);
}

} // namespace
} // namespace GeraniumLever
