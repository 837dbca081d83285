/** Tests how streams go on at the nodes that are left after others were lost for good. */
#include <deque>

#include "tests/servers/relay/fleet_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FleetLossTest : public FleetFixture
{
protected:
    /** In fleets of several sizes: after the preparation a stream begins at each node, all nodes but one are lost, and
     *  all streams go on at the one that is left. */
    template<typename Prepare>
    void expectStreamsGoOn(Prepare prepare)
    {
        for (const int count : { 2, 9, 65 }) {
            SCOPED_TRACE(count);
            reset();
            startNodes(count);
            pass(seconds(5));
            prepare();
            beginStreams();
            pass(seconds(1));
            killAllBut("node-0");
            EXPECT_EQ(takeUpBegunStreams("node-0"), count);
        }
    }

    /** Streams begin all the time, four a second at each node, and end after so long; returns those that have not
     *  ended. */
    std::deque<std::string> runStreams(Duration time, Duration length)
    {
        std::deque<std::string> running;
        const std::size_t perStep = std::max<std::size_t>(2, nodes_.size() / 5);
        const std::size_t atOnce = perStep * static_cast<std::size_t>(length / Step);
        for (const TimePoint end = clock_.now() + time; clock_.now() < end; pass(Step)) {
            for (std::size_t number = 0; number < perStep; ++number) {
                const auto node = std::next(nodes_.begin(), static_cast<std::ptrdiff_t>(lastStream_ % nodes_.size()));
                running.push_back("stream " + std::to_string(++lastStream_));
                EXPECT_TRUE(begin(node->first, running.back()));
                runningAt_[running.back()] = node->first;
            }
            while (running.size() > atOnce) {
                RelayCommands commands;
                nodes_.at(runningAt_.at(running.front()))
                    ->ended({ attempts_.at(running.front()) }, clock_.now(), commands);
                running.pop_front();
            }
        }
        return running;
    }

    /** Share of the streams that go on, of some that began at different times. */
    double takeUp(const std::deque<std::string> &streams, const std::string &address)
    {
        constexpr std::size_t Most = 40;
        const std::size_t distance = 1 + streams.size() / Most;
        int tried = 0;
        int resumed = 0;
        for (std::size_t index = 0; index < streams.size(); index += distance) {
            const std::string again = "again " + streams[index];
            send(address, again, "3", streams[index]);
            pass(4 * Step);
            ++tried;
            resumed += versions_.contains(again) ? 1 : 0;
        }
        return static_cast<double>(resumed) / tried;
    }

    void serveNewVersion()
    {
        serve("new-1", "v2");
        serve("new-2", "v2");
        pass(seconds(10));
    }

    std::size_t lastStream_ = 0;
    std::map<std::string, std::string> runningAt_;
};

// Guards against refusing a stream because the nodes that remember it are gone for good.
TEST_F(FleetLossTest, StreamsGoOnAtTheOnlyNodeThatIsLeft)
{
    expectStreamsGoOn([]() {});
    EXPECT_EQ(originWrites_, 0) << "the notes are enough";
}

// The same while two versions serve, of streams that began long enough before to be stored.
TEST_F(FleetLossTest, StreamsOfBothVersionsGoOnAtTheOnlyNodeThatIsLeft)
{
    expectStreamsGoOn([this]() { serveNewVersion(); });
}

// Guards against losing streams because the notes of a restored store prove nothing for ten minutes.
TEST_F(FleetLossTest, StreamsGoOnAtTheOnlyNodeThatIsLeftAfterTheStoreWasRestored)
{
    expectStreamsGoOn([this]() {
        versionTable_.restore();
        pass(seconds(10));
    });
}

// Guards against nodes that start anew taking an old era of the store for a young one, in which notes prove nothing.
TEST_F(FleetLossTest, StreamsGoOnAfterTheLossOfAllNodesLongAfterTheStoreWasRestored)
{
    reset();
    startNodes(9);
    pass(seconds(5));
    versionTable_.restore();
    pass(std::chrono::minutes(11));
    const int writes = originWrites_;
    beginStreams();
    pass(seconds(1));
    EXPECT_EQ(originWrites_, writes) << "the notes are enough";
    killAll();
    pass(Outage);
    startNodes(9);
    EXPECT_EQ(takeUpBegunStreams("node-0"), 9);
}

// Guards against trusting a note of which the store may have lost the newest version.
TEST_F(FleetLossTest, NodesThatStartAnewTrustNoNoteOfAnEarlierEra)
{
    reset();
    startNodes(9);
    pass(seconds(5));
    beginStreams();
    killAll();
    versionTable_.restore();
    pass(Outage);
    startNodes(9);
    EXPECT_EQ(takeUpBegunStreams("node-0"), 0);
}

// Guards against losing streams because the notes do not tell which pool a changed route went to when they began.
TEST_F(FleetLossTest, StreamsGoOnAtTheOnlyNodeThatIsLeftAfterTheRoutesWereChanged)
{
    expectStreamsGoOn([this]() {
        configuration_.version = ConfigurationVersion(configuration_.version.value() + 1);
        configuration_.routes.push_back(configuration_.routes.front());
        configuration_.routes.back().name = "more";
        configuration_.routes.back().pathPrefix = "/live/more/" + std::to_string(configuration_.version.value()) + "/";
        pass(seconds(10));
    });
}

// Guards against losing streams that began less than half a second before all nodes were lost, in fleets of any size.
TEST_F(FleetLossTest, MostShortStreamsOfBothVersionsGoOnAfterTheLossOfAllNodes)
{
    constexpr Duration StreamLength = milliseconds(400);
    for (const int count : { 9, 76, 380 }) {
        SCOPED_TRACE(count);
        reset();
        startNodes(count);
        pass(seconds(2));
        serve("new-1", "v2");
        serve("new-2", "v2");
        pass(seconds(5));
        const std::deque<std::string> unfinished = runStreams(seconds(2), StreamLength);
        killAll();
        pass(Outage);
        startNodes(count);
        EXPECT_GE(takeUp(unfinished, "node-0"), 0.5);
    }
}

// Guards against writes that grow with the fleet.
TEST_F(FleetLossTest, AllNodesTogetherWriteOriginsAtMostAHundredTimesASecond)
{
    for (const int count : { 9, 76, 380 }) {
        reset();
        startNodes(count);
        pass(seconds(2));
        serve("new-1", "v2");
        pass(seconds(5));
        const int before = originWrites_;
        runStreams(seconds(2), milliseconds(400));
        EXPECT_LE(originWrites_ - before, 2 * 100) << count;
    }
}

// Guards against losing the streams of a data centre because the node that stores them for all is silent.
TEST_F(FleetLossTest, NodesStoreTheirStreamsThemselvesWhileTheCollectorIsSilent)
{
    reset();
    startNodes(9);
    pass(seconds(5));
    serveNewVersion();
    for (const auto &[address, node] : nodes_) {
        if (node->workCollector(clock_.now())->address == address) {
            silent_.insert(address);
        }
    }
    ASSERT_EQ(silent_.size(), 3U) << "one in each data centre";
    beginStreams();
    pass(milliseconds(1500));
    silent_.clear();
    killAll();
    pass(Outage);
    startNodes(9);
    EXPECT_EQ(takeUpBegunStreams("node-0"), 9);
}

// Guards against the same if the collector does not reach the store.
TEST_F(FleetLossTest, NodesStoreTheirStreamsThemselvesWhileTheCollectorHasNoStore)
{
    reset();
    startNodes(9);
    pass(seconds(5));
    serveNewVersion();
    for (const auto &[address, node] : nodes_) {
        if (node->workCollector(clock_.now())->address == address) {
            storeless_.insert(address);
        }
    }
    ASSERT_EQ(storeless_.size(), 3U);
    beginStreams();
    pass(milliseconds(1500));
    storeless_.clear();
    killAll();
    pass(Outage);
    startNodes(9);
    EXPECT_EQ(takeUpBegunStreams("node-0"), 6) << "all but those of the collectors";
}

// Guards against a node dropping the streams that it has stored itself before the collector has stored them.
TEST_F(FleetLossTest, StreamsThatANodeHasStoredItselfStayStoredWhileTheCollectorHasNoStore)
{
    reset();
    startNodes(9);
    pass(seconds(5));
    serveNewVersion();
    for (const auto &[address, node] : nodes_) {
        if (node->workCollector(clock_.now())->address == address) {
            storeless_.insert(address);
        }
    }
    beginStreams();
    pass(milliseconds(1500));
    const std::map<std::string, std::string> begun = versions_;
    beginStreams("later ");
    pass(milliseconds(200));
    storeless_.clear();
    killAll();
    pass(Outage);
    startNodes(9);
    versions_ = begun;
    EXPECT_EQ(takeUpBegunStreams("node-0"), 6) << "all but those of the collectors";
}

// Guards against losing streams of a route that goes to several pools, of which the notes do not tell the stream's.
TEST_F(FleetLossTest, StreamsOfASplitRouteGoOnAtTheOnlyNodeThatIsLeft)
{
    configuration_.pools.push_back(configuration_.pools.front());
    configuration_.pools.back().name = PoolName("more-engines");
    configuration_.routes.front().pools.push_back({ PoolName("more-engines"), 1 });
    expectStreamsGoOn([this]() {
        upstreams_.push_back(upstreamOf("more-1", "more-engines", 64));
        upstreams_.back().version = "v1";
        pass(seconds(5));
    });
}

// Guards against losing streams because their origins were in the store before it was restored, but not in the copy.
TEST_F(FleetLossTest, OriginsThatTheStoreHasLostAreStoredAgain)
{
    reset();
    startNodes(9);
    pass(seconds(5));
    serveNewVersion();
    beginStreams();
    pass(seconds(1));
    storedOrigins_.rows.clear();
    versionTable_.restore();
    pass(seconds(2));
    killAllBut("node-0");
    EXPECT_EQ(takeUpBegunStreams("node-0"), 9);
}

// A silent node may have begun a stream at a version that this one has never seen.
TEST_F(FleetLossTest, OnlyNodeThatIsLeftJoinsNoVersionsThatItCannotTellApart)
{
    for (const Departure &departure : departures) {
        SCOPED_TRACE(departure.name);
        reset();
        startNodes(9);
        pass(seconds(5));
        serveNewVersion();
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
TEST_F(FleetLossTest, OriginsWhoseWriteFailedAreWrittenAgain)
{
    reset();
    startNodes(1);
    serve("new-1", "v2");
    pass(seconds(5));
    beginStreams();
    pass(seconds(1));
    ASSERT_EQ(storedOrigins_.rows.size(), 1U);
    storedOrigins_.rows.clear();
    nodes_.begin()->second->originRowFailed();
    pass(seconds(1));
    ASSERT_EQ(storedOrigins_.rows.size(), 1U);
    EXPECT_FALSE(storedOrigins_.rows.begin()->second.streams.empty());
}

TEST_F(FleetLossTest, RowOfOriginsIsWrittenOnlyIfItDiffers)
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

TEST_F(FleetLossTest, StreamsThatWereCompleteAreNotKept)
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

} // namespace
} // namespace GeraniumLever
