/** Tests how streams go on after many or all nodes were lost at once: never at another version. */
#include <map>
#include <memory>
#include <string>

#include "tests/servers/relay/fake_version_table.h"
#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** When the servers of the old version leave the registry, counted from the moment at which all nodes are killed. */
struct Departure
{
    const char *name;
    Duration afterKill;
};

constexpr Duration Outage = seconds(2);
const Departure departures[] = {
    { "long before", seconds(-15) },
    { "just before", milliseconds(-300) },
    { "during", seconds(1) },
    { "after", seconds(3) },
};

/** Nodes that exchange messages, and the store that they read and write. */
class FleetRestartTest : public testing::Test
{
protected:
    FleetRestartTest()
    {
        Route live;
        live.name = "live";
        live.host = "a.example";
        live.pathPrefix = "/live/";
        live.pools = { { PoolName("engines"), 1 } };
        live.streamed = true;
        live.resumable = true;
        live.maxAttempts = 2;
        live.timeout = seconds(10);
        live.target = milliseconds(300);
        configuration_.version = ConfigurationVersion(1);
        configuration_.routes = { live };
        configuration_.pools.resize(1);
        configuration_.pools[0].name = PoolName("engines");
    }

    /** Nothing has ever run. */
    void reset()
    {
        nodes_.clear();
        upstreams_.clear();
        versions_.clear();
        refusals_.clear();
        versionTable_ = FakeVersionTable();
        storedOrigins_ = {};
        originWrites_ = 0;
        isFirstStart_ = true;
        serve("old-1", "v1");
        serve("old-2", "v1");
    }

    void serve(const std::string &name, const std::string &version)
    {
        upstreams_.push_back(upstreamOf(name, "engines", 16));
        upstreams_.back().version = version;
    }

    void withdraw(const std::string &version)
    {
        std::erase_if(upstreams_, [&version](const UpstreamEntry &entry) { return entry.version == version; });
    }

    void startNodes(int count)
    {
        std::vector<PeerNode> list;
        for (int number = 0; number < count; ++number) {
            const std::string name = "node-" + std::to_string(number);
            list.push_back({ NodeName(name), DataCenterName("dc-" + std::to_string(number % 3)), name });
        }
        for (const PeerNode &node : list) {
            RelaySystemSettings settings;
            settings.node = node.node;
            settings.dataCenter = node.dataCenter;
            settings.origin = ++lastOrigin_;
            settings.seed = lastOrigin_;
            settings.isFirstStart = isFirstStart_;
            RelaySystem &system = *nodes_.emplace(node.address, std::make_unique<RelaySystem>(settings)).first->second;
            RelayCommands commands;
            system.updateNodes({ list, {} }, clock_.now(), clock_.now(), commands);
        }
        isFirstStart_ = false;
        readStore();
    }

    void killAll() { nodes_.clear(); }

    /** The others neither start again nor leave the list of nodes. */
    void killAllBut(const std::string &address)
    {
        std::erase_if(nodes_, [&address](const auto &item) { return item.first != address; });
    }

    void readStore()
    {
        for (auto &[address, node] : nodes_) {
            RelayCommands commands;
            node->applyConfiguration({ std::make_shared<const SiteConfiguration>(configuration_), 1, {} },
                                     clock_.now(),
                                     clock_.now(),
                                     commands);
            node->updateUpstreams(
                { upstreams_, versionTable_.read(clock_.now()).state }, clock_.now(), clock_.now(), commands);
            deliver(address, commands);
            keepNotes(address);
        }
    }

    void readNotes(const std::string &address)
    {
        RelayCommands commands;
        nodes_.at(address)->versionNotesRead(versionTable_.read(clock_.now()), clock_.now(), clock_.now(), commands);
        deliver(address, commands);
    }

    void readStoredOrigins(const std::string &address)
    {
        storedOrigins_.state.clock = clock_.now().time_since_epoch();
        RelayCommands commands;
        nodes_.at(address)->storedOriginsRead(storedOrigins_, clock_.now(), clock_.now(), commands);
        deliver(address, commands);
    }

    /** Writes what nodes want to outlast them. */
    void keepOrigins(const std::string &address)
    {
        std::optional<StoredOriginRow> row = nodes_.at(address)->takeOriginBackup(clock_.now());
        if (row.has_value()) {
            storedOrigins_.rows[address + "/" + std::to_string(lastOrigin_)] = std::move(*row);
            ++originWrites_;
        }
    }

    void keepNotes(const std::string &address)
    {
        if (!nodes_.at(address)->fleet().needsVersionNotes(clock_.now())) {
            return;
        }
        readNotes(address);
        for (const VersionNoteUpdate &update : nodes_.at(address)->fleet().versionNoteUpdates(clock_.now())) {
            versionTable_.write(update);
        }
        readNotes(address);
    }

    /** All nodes tick, and read the store once a second. */
    void pass(Duration time)
    {
        for (const TimePoint end = clock_.now() + time; clock_.now() < end;) {
            clock_.advance(Step);
            sinceRead_ += Step;
            for (auto &[address, node] : nodes_) {
                RelayCommands commands;
                node->tick(clock_.now(), commands);
                deliver(address, commands);
                keepNotes(address);
                keepOrigins(address);
            }
            if (sinceRead_ >= seconds(1)) {
                sinceRead_ = Duration(0);
                readStore();
            }
        }
    }

    /** Sends a request to a node; a take-up if lastEvent is not empty. */
    void send(const std::string &address,
              const std::string &id,
              const std::string &lastEvent = "",
              const std::string &resumed = "")
    {
        RelayRequest request;
        request.request = RequestId(1, ++lastRequest_);
        request.callerId = id;
        request.host = "a.example";
        request.path = "/live/1";
        request.lastEventId = lastEvent;
        request.resumedRequest = resumed;
        ids_[request.request] = id;
        RelayCommands commands;
        nodes_.at(address)->arrived(request, clock_.now(), commands);
        deliver(address, commands);
    }

    void deliver(const std::string &from, const RelayCommands &commands)
    {
        for (const RelayCommand &command : commands) {
            if (const auto *message = std::get_if<OutgoingStreamMessage>(&command)) {
                deliver(from, *message);
            } else if (const auto *dispatch = std::get_if<RelayDispatch>(&command)) {
                versions_[ids_.at(dispatch->request)] = dispatch->upstream.text().substr(0, 3);
                attempts_[ids_.at(dispatch->request)] = dispatch->attempt;
            } else if (const auto *refusal = std::get_if<RelayRefusal>(&command)) {
                refusals_[ids_.at(refusal->request)] = *refusal;
            } else if (std::holds_alternative<ReadVersionNotes>(command)) {
                readNotes(from);
            } else if (std::holds_alternative<ReadStoredOrigins>(command)) {
                readStoredOrigins(from);
            }
        }
    }

    void deliver(const std::string &from, const OutgoingStreamMessage &message)
    {
        const auto receiver = nodes_.find(message.address);
        if (receiver == nodes_.end()) {
            return;
        }
        RelayCommands commands;
        if (const auto *record = std::get_if<StreamRecord>(&message.message)) {
            receiver->second->streamRecordReceived(*record, clock_.now());
        } else if (const auto *query = std::get_if<StreamQuery>(&message.message)) {
            deliver(message.address, { from, receiver->second->answerStreamQuery(*query, clock_.now()) });
        } else if (const auto *reply = std::get_if<StreamReply>(&message.message)) {
            receiver->second->streamReplyReceived(*reply, clock_.now(), commands);
            deliver(message.address, commands);
        }
    }

    /** Begins a stream at each node; callers receive the first events. */
    void beginStreams(const std::string &moment = "")
    {
        for (const auto &[address, node] : nodes_) {
            const std::string id = "begun " + moment + "at " + address;
            send(address, id);
            ASSERT_TRUE(attempts_.contains(id));
            RelayResponseHead head;
            head.attempt = attempts_.at(id);
            head.status = 200;
            head.resumable = true;
            RelayCommands commands;
            node->headArrived(head, clock_.now(), commands);
            deliver(address, commands);
        }
    }

    /** The caller of each begun stream takes it up at the node, once the one before has been answered to the end.
     * Returns the number of streams that went on. */
    int takeUpBegunStreams(const std::string &address)
    {
        const std::map<std::string, std::string> begun = versions_;
        int resumed = 0;
        for (const auto &[id, version] : begun) {
            const std::string again = "again " + id;
            send(address, again, "3", id);
            pass(4 * Step);
            if (versions_.contains(again)) {
                EXPECT_EQ(versions_[again], version) << again;
                ++resumed;
                RelayCommands commands;
                nodes_.at(address)->ended({ attempts_.at(again) }, clock_.now(), commands);
                deliver(address, commands);
            } else {
                EXPECT_TRUE(refusals_.contains(again)) << again;
            }
        }
        return resumed;
    }

    /** Callers take up all streams, each at each node, with and without the name of the request that began it. */
    void takeUpStreams(const std::string &moment)
    {
        for (const auto &[address, node] : nodes_) {
            for (const auto &[other, otherNode] : nodes_) {
                const std::string id = moment + " at " + address + " of " + other;
                send(address, id, "3", "begun at " + other);
                send(address, id + ", unnamed", "3");
            }
        }
        pass(seconds(1));
    }

    static constexpr Duration Step = milliseconds(50);

    SiteConfiguration configuration_;
    std::vector<UpstreamEntry> upstreams_;
    FakeVersionTable versionTable_;
    StoredOrigins storedOrigins_;
    int originWrites_ = 0;
    bool isFirstStart_ = true;
    SteppedClock clock_;
    std::map<std::string, std::unique_ptr<RelaySystem>> nodes_;
    std::map<RequestId, std::string> ids_;
    /** Of the last upstream that each request was sent to. */
    std::map<std::string, std::string> versions_;
    std::map<std::string, AttemptId> attempts_;
    std::map<std::string, RelayRefusal> refusals_;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastOrigin_ = 0;
    Duration sinceRead_ { 0 };
};

TEST_F(FleetRestartTest, NoStreamGoesOnAtAnotherVersionWheneverItsOwnHasLeft)
{
    for (const int count : { 1, 9 }) {
        for (const Departure &departure : departures) {
            SCOPED_TRACE(std::string(departure.name) + " the kill, nodes: " + std::to_string(count));
            reset();
            startNodes(count);
            pass(seconds(3));
            beginStreams();
            serve("new-1", "v2");
            serve("new-2", "v2");
            pass(seconds(16));
            // The streams that are taken up later have been going on all the time; those of the old version are cut by
            // the kill at the latest.
            const TimePoint killAt = clock_.now() + seconds(16);
            bool hasLeft = false;
            const auto passUntil = [&](TimePoint end) {
                while (clock_.now() < end) {
                    if (!hasLeft && clock_.now() >= killAt + departure.afterKill) {
                        withdraw("v1");
                        hasLeft = true;
                    }
                    pass(Step);
                }
            };
            passUntil(killAt);
            killAll();
            passUntil(killAt + Outage);
            startNodes(count);
            for (int second = 0; second < 40; second += 4) {
                passUntil(killAt + Outage + seconds(second));
                takeUpStreams(std::to_string(second) + " s after the restart");
            }
            for (const auto &[id, version] : versions_) {
                EXPECT_EQ(version, "old") << id;
            }
            EXPECT_FALSE(refusals_.empty());
            for (const auto &[id, refusal] : refusals_) {
                EXPECT_EQ(refusal.outcome, Outcome::NotRun) << id;
                EXPECT_TRUE(refusal.error.retryAfter.has_value()) << id;
            }
        }
    }
}

TEST_F(FleetRestartTest, StreamsGoOnRightAfterTheRestartIfTheVersionHasNotChanged)
{
    for (const int count : { 1, 9 }) {
        SCOPED_TRACE(count);
        reset();
        startNodes(count);
        pass(seconds(5));
        EXPECT_EQ(versionTable_.writes(), 1U) << "the others see that the first node has noted the version";
        beginStreams();
        killAll();
        pass(Outage);
        startNodes(count);
        takeUpStreams("after the restart");
        for (const auto &[id, refusal] : refusals_) {
            EXPECT_NE(refusal.error.code, ResultCode::StreamOriginUnknown) << id;
        }
        EXPECT_EQ(versions_.size(), static_cast<std::size_t>(count + 2 * count * count));
        EXPECT_EQ(originWrites_, 0) << "the notes are enough";
    }
}

TEST_F(FleetRestartTest, StreamsOfBothVersionsGoOnAfterTheRestartIfTheirOriginsWereStored)
{
    for (const int count : { 1, 9, 65 }) {
        SCOPED_TRACE(count);
        reset();
        startNodes(count);
        pass(seconds(5));
        serve("new-1", "v2");
        serve("new-2", "v2");
        pass(seconds(10));
        std::map<std::string, std::string> begun;
        for (const char *moment : { "first ", "second ", "third " }) {
            beginStreams(moment);
            pass(milliseconds(100));
        }
        for (const auto &[id, version] : versions_) {
            begun[id] = version;
        }
        pass(seconds(1));
        killAll();
        pass(Outage);
        startNodes(count);
        int resumed = 0;
        for (const auto &[id, version] : begun) {
            const std::string again = "again " + id;
            send("node-" + std::to_string(resumed % count), again, "3", id);
            pass(milliseconds(50));
            ASSERT_TRUE(versions_.contains(again)) << again;
            EXPECT_EQ(versions_[again], version) << again;
            ++resumed;
        }
        EXPECT_EQ(resumed, 3 * count);
        EXPECT_GT(originWrites_, 0);
        EXPECT_LE(originWrites_, count * 4) << "at most two a second and node";
    }
}

// Guards against refusing a stream because the nodes that remember it are gone for good.
TEST_F(FleetRestartTest, StreamsGoOnAtTheOnlyNodeThatIsLeft)
{
    for (const int count : { 2, 9, 65 }) {
        SCOPED_TRACE(count);
        reset();
        startNodes(count);
        pass(seconds(5));
        beginStreams();
        pass(milliseconds(200));
        killAllBut("node-0");
        EXPECT_EQ(takeUpBegunStreams("node-0"), count);
        EXPECT_EQ(originWrites_, 0) << "the notes are enough";
    }
}

// The same while two versions serve, of streams that began long enough before to be stored.
TEST_F(FleetRestartTest, StreamsOfBothVersionsGoOnAtTheOnlyNodeThatIsLeft)
{
    for (const int count : { 2, 9, 65 }) {
        SCOPED_TRACE(count);
        reset();
        startNodes(count);
        pass(seconds(5));
        serve("new-1", "v2");
        serve("new-2", "v2");
        pass(seconds(10));
        beginStreams();
        pass(seconds(1));
        killAllBut("node-0");
        EXPECT_EQ(takeUpBegunStreams("node-0"), count);
    }
}

// Guards against losing streams because the notes of a restored store prove nothing for ten minutes.
TEST_F(FleetRestartTest, StreamsGoOnAtTheOnlyNodeThatIsLeftAfterTheStoreWasRestored)
{
    for (const int count : { 2, 9, 65 }) {
        SCOPED_TRACE(count);
        reset();
        startNodes(count);
        pass(seconds(5));
        versionTable_.restore();
        pass(seconds(10));
        beginStreams();
        pass(seconds(1));
        killAllBut("node-0");
        EXPECT_EQ(takeUpBegunStreams("node-0"), count);
    }
}

// Guards against losing streams because the notes do not tell which pool a changed route went to when they began.
TEST_F(FleetRestartTest, StreamsGoOnAtTheOnlyNodeThatIsLeftAfterTheRoutesWereChanged)
{
    for (const int count : { 2, 9, 65 }) {
        SCOPED_TRACE(count);
        reset();
        startNodes(count);
        pass(seconds(5));
        configuration_.version = ConfigurationVersion(configuration_.version.value() + 1);
        configuration_.routes.push_back(configuration_.routes.front());
        configuration_.routes.back().name = "more";
        configuration_.routes.back().pathPrefix = "/live/more/" + std::to_string(count) + "/";
        pass(seconds(10));
        beginStreams();
        pass(seconds(1));
        killAllBut("node-0");
        EXPECT_EQ(takeUpBegunStreams("node-0"), count);
    }
}

// Guards against losing streams of a route that goes to several pools, of which the notes do not tell the stream's.
TEST_F(FleetRestartTest, StreamsOfASplitRouteGoOnAtTheOnlyNodeThatIsLeft)
{
    configuration_.pools.push_back(configuration_.pools.front());
    configuration_.pools.back().name = PoolName("more-engines");
    configuration_.routes.front().pools.push_back({ PoolName("more-engines"), 1 });
    for (const int count : { 2, 9, 65 }) {
        SCOPED_TRACE(count);
        reset();
        upstreams_.push_back(upstreamOf("more-1", "more-engines", 64));
        upstreams_.back().version = "v1";
        startNodes(count);
        pass(seconds(5));
        beginStreams();
        pass(seconds(1));
        killAllBut("node-0");
        EXPECT_EQ(takeUpBegunStreams("node-0"), count);
    }
}

// Guards against losing streams because their origins were in the store before it was restored, but not in the copy.
TEST_F(FleetRestartTest, OriginsThatTheStoreHasLostAreStoredAgain)
{
    reset();
    startNodes(9);
    pass(seconds(5));
    serve("new-1", "v2");
    serve("new-2", "v2");
    pass(seconds(10));
    beginStreams();
    pass(seconds(1));
    storedOrigins_.rows.clear();
    versionTable_.restore();
    pass(seconds(2));
    killAllBut("node-0");
    EXPECT_EQ(takeUpBegunStreams("node-0"), 9);
}

// A silent node may have begun a stream at a version that this one has never seen.
TEST_F(FleetRestartTest, OnlyNodeThatIsLeftJoinsNoVersionsThatItCannotTellApart)
{
    for (const Departure &departure : departures) {
        SCOPED_TRACE(departure.name);
        reset();
        startNodes(9);
        pass(seconds(5));
        serve("new-1", "v2");
        serve("new-2", "v2");
        pass(seconds(10));
        const TimePoint killAt = clock_.now() + seconds(16);
        for (const TimePoint end = killAt + seconds(8); clock_.now() < end; pass(Step)) {
            if (clock_.now() >= killAt + departure.afterKill) {
                withdraw("v1");
            }
            if (clock_.now() + Step >= killAt && nodes_.size() > 1) {
                beginStreams();
                killAllBut("node-0");
            }
        }
        EXPECT_LT(takeUpBegunStreams("node-0"), 9) << "not all origins were stored in time";
        for (const auto &[id, refusal] : refusals_) {
            EXPECT_EQ(refusal.outcome, Outcome::NotRun) << id;
            EXPECT_TRUE(refusal.error.retryAfter.has_value()) << id;
        }
    }
}

// Guards against losing streams that go on without a change after the write of their origins has failed.
TEST_F(FleetRestartTest, OriginsWhoseWriteFailedAreWrittenAgain)
{
    reset();
    startNodes(1);
    serve("new-1", "v2");
    pass(seconds(5));
    beginStreams();
    pass(seconds(1));
    ASSERT_EQ(storedOrigins_.rows.size(), 1U);
    storedOrigins_.rows.clear();
    nodes_.begin()->second->originBackupFailed();
    pass(seconds(1));
    ASSERT_EQ(storedOrigins_.rows.size(), 1U);
    EXPECT_FALSE(storedOrigins_.rows.begin()->second.streams.empty());
}

TEST_F(FleetRestartTest, RowOfOriginsIsWrittenOnlyIfItDiffers)
{
    reset();
    startNodes(1);
    serve("new-1", "v2");
    pass(seconds(5));
    const int before = originWrites_;
    beginStreams();
    RelayCommands commands;
    nodes_.begin()->second->ended({ attempts_.at("begun at node-0") }, clock_.now(), commands);
    pass(seconds(2));
    EXPECT_EQ(originWrites_, before) << "the stream was complete before it could be written";
}

TEST_F(FleetRestartTest, StreamsThatWereCompleteAreNotKept)
{
    reset();
    startNodes(1);
    serve("new-1", "v2");
    pass(seconds(5));
    beginStreams();
    pass(seconds(1));
    ASSERT_EQ(storedOrigins_.rows.size(), 1U);
    EXPECT_FALSE(storedOrigins_.rows.begin()->second.streams.empty());
    RelayCommands commands;
    nodes_.begin()->second->ended({ attempts_.at("begun at node-0") }, clock_.now(), commands);
    pass(seconds(1));
    EXPECT_TRUE(storedOrigins_.rows.begin()->second.streams.empty());
}

TEST_F(FleetRestartTest, NodesThatNeverSawTheOldVersionKnowItFromTheNotes)
{
    reset();
    startNodes(9);
    pass(seconds(5));
    beginStreams();
    serve("new-1", "v2");
    pass(seconds(5));
    withdraw("v1");
    // All are killed before any node has noted that the version is gone.
    pass(seconds(1));
    killAll();
    pass(Outage);
    startNodes(3);
    takeUpStreams("after the restart");
    pass(seconds(60));
    takeUpStreams("a minute later");
    for (const auto &[id, version] : versions_) {
        EXPECT_EQ(version, "old") << id;
    }
}

} // namespace
} // namespace GeraniumLever
