/** Tests how a relay system continues streams that callers take up again. */
#include "tests/servers/relay/fake_version_table.h"
#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
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

    /** Upstream lists arrive for this long, and the node keeps its notes. */
    void listFor(int count)
    {
        for (int second = 0; second < count; ++second) {
            advance(seconds(1));
            readStore();
            keepNotes();
        }
    }

    /** Reads the notes, and changes them if the node should. */
    void keepNotes()
    {
        while (system_.fleet().needsVersionNotes(clock_.now())) {
            readNotes();
            for (const VersionNoteUpdate &update : system_.fleet().versionNoteUpdates(clock_.now())) {
                EXPECT_TRUE(versionTable_.write(update));
            }
            readNotes();
        }
    }

    void readNotes() { readNotesAsOf(clock_.now()); }

    void readNotesAsOf(TimePoint asOf)
    {
        system_.versionNotesRead(versionTable_.read(clock_.now()), asOf, clock_.now(), commands_);
    }

    std::size_t notesAsked() const
    {
        return static_cast<std::size_t>(
            std::count_if(commands_.begin(), commands_.end(), [](const RelayCommand &command) {
                return std::holds_alternative<ReadVersionNotes>(command);
            }));
    }

    /** Takes up a stream that no node knows; the notes are read. */
    RequestId takeUpUnknown(const std::string &stream)
    {
        const RequestId request = takeUp(stream);
        if (!stream.empty()) {
            replyUnknown(stream);
        }
        readNotes();
        system_.storedOriginsRead({}, clock_.now(), clock_.now(), commands_);
        return request;
    }

    /** One field of all records on streams that were taken up. */
    std::vector<std::string> takeUpField(const std::string &name) const
    {
        std::vector<std::string> values;
        for (const RelayCommand &command : commands_) {
            const Decision *decision = std::get_if<Decision>(&command);
            if (decision == nullptr || decision->kind != "take_up") {
                continue;
            }
            for (const auto &[field, value] : decision->fields) {
                if (field == name) {
                    values.push_back(value);
                }
            }
        }
        return values;
    }

    FakeVersionTable versionTable_;

    /** Until no answer of peers or the store is awaited any more. */
    void passTime()
    {
        for (int step = 0; step < 50; ++step) {
            advance(milliseconds(20));
            tick();
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
    const RequestId request = takeUpUnknown("lost");
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
    EXPECT_EQ(notesAsked(), 0U);
    advance(milliseconds(100));
    tick();
    EXPECT_EQ(notesAsked(), 1U);
    readNotes();
    system_.storedOriginsRead({}, clock_.now(), clock_.now(), commands_);
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].error.code, ResultCode::StreamOriginUnknown);
    reply("node-1", "lost", first_);
    EXPECT_TRUE(dispatches(request).empty());
}

TEST_F(StreamResumptionTest, UnknownStreamGoesOnIfItsPoolNeverHadAnotherVersion)
{
    upstreams_[1].version = "v1";
    listFor(1);
    for (const char *stream : { "lost", "" }) {
        const RequestId request = takeUpUnknown(stream);
        ASSERT_EQ(dispatches(request).size(), 1U) << stream;
    }
}

TEST_F(StreamResumptionTest, StreamThatItsCallerDoesNotNameIsRejectedWhileTwoVersionsServe)
{
    listFor(1);
    const RequestId request = takeUpUnknown("");
    EXPECT_EQ(refusals(request).size(), 1U);
    EXPECT_TRUE(sent<StreamQuery>().empty());
}

TEST_F(StreamResumptionTest, NotesCountOnlyIfTheyAreReadAfterTheCallerCameBack)
{
    upstreams_[1].version = "v1";
    listFor(1);
    const TimePoint before = clock_.now();
    advance(milliseconds(10));
    const RequestId request = takeUp("");
    EXPECT_EQ(notesAsked(), 1U);
    readNotesAsOf(before);
    EXPECT_TRUE(dispatches(request).empty());
    EXPECT_TRUE(refusals(request).empty());
    readNotes();
    EXPECT_EQ(dispatches(request).size(), 1U);
}

TEST_F(StreamResumptionTest, StreamIsRejectedIfTheNotesCannotBeRead)
{
    upstreams_[1].version = "v1";
    listFor(30);
    const RequestId request = takeUp("lost");
    replyUnknown("lost");
    EXPECT_EQ(notesAsked(), 1U);
    passTime();
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].error.code, ResultCode::StreamOriginUnknown);
    EXPECT_TRUE(dispatches(request).empty());
}

TEST_F(StreamResumptionTest, UnknownStreamIsRejectedUntilNoneOfTheOldVersionCanBeTakenUp)
{
    listFor(1);
    upstreams_[0].version = "v2";
    listFor(5);
    EXPECT_EQ(refusals(takeUpUnknown("lost")).size(), 1U);
    listFor(9 * 60);
    EXPECT_EQ(refusals(takeUpUnknown("lost")).size(), 1U);
    // Another node than this one should have noted at once that the old version is gone.
    listFor(6 * 60);
    EXPECT_EQ(dispatches(takeUpUnknown("lost")).size(), 1U);
}

TEST_F(StreamResumptionTest, NotesOfARestoredStoreProveNothingForTenMinutes)
{
    upstreams_[1].version = "v1";
    listFor(1);
    versionTable_.restore();
    EXPECT_EQ(refusals(takeUpUnknown("lost")).size(), 1U);
    advance(minutes(11));
    readNotes();
    EXPECT_EQ(system_.fleet().onlyVersion(PoolName("engines")), std::nullopt) << "no node has confirmed the note";
    // Eight other nodes may come before this one, which waits 30 s for each.
    const auto isConfirmed = [this]() {
        const StoredVersionNotes stored = versionTable_.read(clock_.now());
        return stored.pools.at(PoolName("engines")).note.era == stored.state.era;
    };
    for (int second = 0; second < 4 * 60 + 10 && !isConfirmed(); ++second) {
        listFor(1);
    }
    ASSERT_TRUE(isConfirmed());
    listFor(10 * 60 - 10);
    readNotes();
    EXPECT_EQ(system_.fleet().onlyVersion(PoolName("engines")), std::nullopt);
    listFor(20);
    readNotes();
    EXPECT_EQ(system_.fleet().onlyVersion(PoolName("engines")), "v1");
}

TEST_F(StreamResumptionTest, StreamsBeginAtANewVersionOnlyOnceItIsNoted)
{
    upstreams_[1].version = "v1";
    listFor(1);
    upstreams_[1].version = "v2";
    readStore();
    const auto countNew = [this]() {
        int count = 0;
        for (int number = 0; number < 4; ++number) {
            const RequestId request = arrive("/live/1");
            count += !dispatches(request).empty() && dispatches(request)[0].upstream == UpstreamName("e2") ? 1 : 0;
            disconnect(request);
        }
        return count;
    };
    EXPECT_EQ(countNew(), 0);
    EXPECT_EQ(dispatches(arrive("/stream/1")).size(), 1U) << "other streams are not resumed";
    listFor(2);
    EXPECT_GT(countNew(), 0);
}

TEST_F(StreamResumptionTest, VersionThatCannotBeNotedServesIfThereIsNoOther)
{
    upstreams_[1].version = "v1";
    listFor(1);
    upstreams_[0].version = "v2";
    upstreams_[1].version = "v2";
    readStore();
    EXPECT_EQ(dispatches(arrive("/live/1")).size(), 1U);
}

TEST_F(StreamResumptionTest, StreamThatItsCallerDoesNotNameNeverGoesOnAfterItsVersionHasLeft)
{
    const RequestId begun = arrive("/live/1");
    answer(begun);
    ASSERT_EQ(dispatches(begun).size(), 1U);
    const bool isFirst = dispatches(begun)[0].upstream == UpstreamName("e1");
    disconnect(begun);
    upstreams_.erase(upstreams_.begin() + (isFirst ? 0 : 1));
    listFor(2);
    const RequestId request = takeUp("");
    passTime();
    EXPECT_TRUE(dispatches(request).empty());
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].error.code, ResultCode::StreamOriginUnknown);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::NotRun);
}

TEST_F(StreamResumptionTest, CallerThatComesBackLongAfterItsVersionHasLeftIsRejected)
{
    upstreams_[1].version = "v1";
    listFor(30);
    upstreams_[0].version = "v2";
    upstreams_[1].version = "v2";
    listFor(60);
    const RequestId request = takeUp("begun a minute ago");
    replyUnknown("begun a minute ago");
    passTime();
    EXPECT_TRUE(dispatches(request).empty());
    EXPECT_EQ(refusals(request).size(), 1U);
}

TEST_F(StreamResumptionTest, StreamOfUnknownOriginDoesNotGoOnInAPoolThatItsRouteWasMovedTo)
{
    upstreams_.push_back(upstreamOf("n1", "new-engines", 4));
    upstreams_.back().version = "v1";
    upstreams_[1].version = "v1";
    configuration_.pools.push_back(configuration_.pools[0]);
    configuration_.pools.back().name = PoolName("new-engines");
    listFor(30);
    configuration_.version = ConfigurationVersion(2);
    configuration_.routes[1].pools = { { PoolName("new-engines"), 1 } };
    listFor(1);
    const RequestId request = takeUp("begun in the other pool");
    replyUnknown("begun in the other pool");
    passTime();
    EXPECT_TRUE(dispatches(request).empty());
    EXPECT_EQ(refusals(request).size(), 1U);
}

TEST_F(StreamResumptionTest, NodeThatIsCutOffDoesNotTrustItsOwnView)
{
    upstreams_[1].version = "v1";
    listFor(30);
    const TimePoint before = clock_.now();
    const RequestId request = takeUp("lost");
    advance(StreamLookupTimeout);
    tick();
    readNotesAsOf(before);
    EXPECT_TRUE(dispatches(request).empty());
    passTime();
    EXPECT_EQ(refusals(request).size(), 1U);
    EXPECT_TRUE(dispatches(request).empty());
}

// Guards against refusing a stream because other nodes are gone or cut off, though the store tells its version.
TEST_F(StreamResumptionTest, NodeThatReachesOnlyTheStoreTrustsItsNotes)
{
    upstreams_[1].version = "v1";
    listFor(1);
    const RequestId request = takeUp("lost");
    advance(StreamLookupTimeout);
    tick();
    EXPECT_TRUE(dispatches(request).empty());
    readNotes();
    ASSERT_EQ(dispatches(request).size(), 1U);
    EXPECT_EQ(takeUpField("step"), std::vector<std::string> { "notes" });
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

TEST_F(StreamResumptionTest, StreamIsNotTakenUpWithAKeyThatWasNotCheckedForLong)
{
    const RequestId request = takeUp("begun");
    // The process was paused; the answer of the other node has been waiting.
    advance(seconds(6));
    reply("node-1", "begun", first_);
    EXPECT_TRUE(dispatches(request).empty());
    ASSERT_EQ(refusals(request).size(), 1U);
    EXPECT_EQ(refusals(request)[0].outcome, Outcome::NotRun);
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

TEST_F(StreamResumptionTest, LogTellsAtWhichStepASearchEnded)
{
    const RequestId first = takeUp("begun");
    reply("node-1", "begun", first_);
    answer(first);
    takeUp("begun");
    takeUpUnknown("lost");
    EXPECT_EQ(takeUpField("step"), (std::vector<std::string> { "nodes", "memory", "stored_origins" }));
    EXPECT_EQ(takeUpField("known"), (std::vector<std::string> { "true", "true", "false" }));
}

TEST_F(StreamResumptionTest, LogTellsHowManyNodesWereSilent)
{
    takeUp("lost");
    const std::size_t asked = sent<StreamQuery>().size();
    passTime();
    EXPECT_EQ(takeUpField("silent_nodes"), std::vector<std::string> { std::to_string(asked) });
    EXPECT_EQ(takeUpField("known"), std::vector<std::string> { "false" });
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
