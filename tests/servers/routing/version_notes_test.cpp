#include "servers/routing/routing.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class VersionNotesTest : public testing::Test
{
protected:
    VersionNotesTest()
    {
        Route live;
        live.host = "a.example";
        live.pathPrefix = "/live/";
        live.pools = { { engines_, 1 } };
        live.streamed = true;
        live.resumable = true;
        Route read = live;
        read.pathPrefix = "/read/";
        read.pools = { { PoolName("plain"), 1 } };
        read.resumable = false;
        configuration_.routes = { live, read };
    }

    void serve(const std::string &name, const std::string &version, const std::string &pool = "engines")
    {
        UpstreamEntry entry;
        entry.name = UpstreamName(name);
        entry.pool = PoolName(pool);
        entry.version = version;
        entries_.put(entry.name, entry);
    }

    /** Passes the list once a second, and keeps the notes as the first of all nodes. */
    void listFor(int count)
    {
        for (int second = 0; second < count; ++second) {
            now_ += seconds(1);
            list();
            keep();
        }
    }

    void list()
    {
        notes_.updateRoutes(RouteTable(std::make_shared<const SiteConfiguration>(configuration_)), now_);
        notes_.updateUpstreams(entries_, now_);
    }

    void keep()
    {
        if (notes_.needsRead(rank(), now_)) {
            read();
            write();
            read();
        }
    }

    void read()
    {
        stored_.state.clock = now_.time_since_epoch();
        notes_.update(stored_, now_);
    }

    std::size_t write()
    {
        const std::vector<VersionNoteUpdate> updates = notes_.updates(rank(), now_);
        for (const VersionNoteUpdate &update : updates) {
            EXPECT_EQ(stored_.pools[update.pool].rowVersion, update.expectedRow);
            stored_.pools[update.pool] = { update.note, ++lastRow_ };
        }
        return updates.size();
    }

    NoteKeeperRank rank() const
    {
        return [this](const PoolName &) { return rank_; };
    }

    std::optional<std::string> onlyVersion()
    {
        read();
        return notes_.onlyVersion(engines_);
    }

    const PoolName engines_ { "engines" };
    SiteConfiguration configuration_;
    Table<UpstreamName, UpstreamEntry> entries_;
    VersionNotes notes_ { true };
    StoredVersionNotes stored_;
    std::size_t rank_ = 0;
    std::uint64_t lastRow_ = 0;
    TimePoint now_ { seconds(1000) };
};

TEST_F(VersionNotesTest, FirstVersionIsKnownToBeTheOnlyOne)
{
    serve("a", "v1");
    serve("b", "v1");
    serve("other", "v9", "plain");
    listFor(1);
    EXPECT_EQ(onlyVersion(), "v1");
    EXPECT_EQ(stored_.pools.count(PoolName("plain")), 0U) << "no stream of it can be taken up";
}

TEST_F(VersionNotesTest, NodesThatAreNotTheFirstOnesDoNotKnowWhatWasBefore)
{
    notes_ = VersionNotes(false);
    serve("a", "v1");
    listFor(1);
    EXPECT_EQ(onlyVersion(), std::nullopt);
    listFor(9 * 60);
    EXPECT_EQ(onlyVersion(), std::nullopt);
    listFor(61);
    EXPECT_EQ(onlyVersion(), "v1");
}

TEST_F(VersionNotesTest, VersionsThatServeTogetherAreNotTakenForOne)
{
    serve("a", "v1");
    listFor(11);
    serve("b", "v2");
    listFor(1);
    EXPECT_EQ(onlyVersion(), std::nullopt);
    entries_.erase(UpstreamName("b"));
    listFor(60);
    EXPECT_EQ(onlyVersion(), std::nullopt);
    listFor(10 * 60);
    EXPECT_EQ(onlyVersion(), "v1");
}

TEST_F(VersionNotesTest, SuccessorOfAVersionIsUnknownUntilTheOldStreamsCannotBeTakenUp)
{
    serve("a", "v1");
    listFor(11);
    entries_.clear();
    serve("b", "v2");
    listFor(9 * 60);
    EXPECT_EQ(onlyVersion(), std::nullopt);
    listFor(70);
    EXPECT_EQ(onlyVersion(), "v2");
    EXPECT_EQ(stored_.pools[engines_].note.versions.size(), 2U) << "dropped at the next change";
    serve("c", "v3");
    listFor(1);
    EXPECT_EQ(stored_.pools[engines_].note.versions.size(), 2U);
}

TEST_F(VersionNotesTest, VersionThatThisNodeSeesAndTheNoteDoesNotProvesNothing)
{
    serve("a", "v1");
    listFor(1);
    serve("b", "v2");
    list();
    EXPECT_EQ(onlyVersion(), std::nullopt);
}

TEST_F(VersionNotesTest, RoutesThatChangedLatelyProveNothing)
{
    serve("a", "v1");
    listFor(1);
    Route another = configuration_.routes[0];
    another.pathPrefix = "/moved/";
    configuration_.routes.push_back(another);
    list();
    EXPECT_EQ(onlyVersion(), std::nullopt) << "not noted yet";
    listFor(5);
    EXPECT_EQ(onlyVersion(), std::nullopt) << "noted";
    listFor(10 * 60);
    EXPECT_EQ(onlyVersion(), "v1");
    configuration_.routes[1].pathPrefix = "/else/";
    std::swap(configuration_.routes[0], configuration_.routes[1]);
    list();
    EXPECT_EQ(onlyVersion(), "v1") << "neither other routes nor their order matter";
}

TEST_F(VersionNotesTest, OnlyANodeWhoseTurnItIsChangesTheNotes)
{
    rank_ = 3;
    serve("a", "v1");
    list();
    EXPECT_FALSE(notes_.needsRead(rank(), now_));
    now_ += milliseconds(300);
    EXPECT_TRUE(notes_.needsRead(rank(), now_));
    stored_.pools[engines_] = { { { { "v1", std::nullopt } }, Duration(0), 0, Duration(0) }, ++lastRow_ };
    read();
    EXPECT_EQ(write(), 0U) << "the routes differ, but that is not urgent";
    now_ += minutes(2);
    EXPECT_TRUE(notes_.needsRead(rank(), now_));
    EXPECT_EQ(write(), 1U);
}

TEST_F(VersionNotesTest, EntriesThatLapseForAMomentAreNotGone)
{
    serve("a", "v1");
    listFor(1);
    entries_.clear();
    listFor(2);
    serve("a", "v1");
    listFor(5);
    EXPECT_EQ(onlyVersion(), "v1");
}

TEST_F(VersionNotesTest, NoteIsBoundedAndForgetsNothingSilently)
{
    for (int number = 0; number < 100; ++number) {
        entries_.clear();
        serve("a", "v" + std::to_string(number));
        listFor(5);
        EXPECT_LE(stored_.pools[engines_].note.versions.size(), 65U);
    }
    EXPECT_EQ(onlyVersion(), std::nullopt);
}

} // namespace
} // namespace GeraniumLever
