#include "servers/routing/routing.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

UpstreamEntry entryOf(const std::string &name, bool leaving = false)
{
    UpstreamEntry entry;
    entry.name = UpstreamName(name);
    entry.pool = PoolName("engines");
    entry.address = "127.0.0.1:" + std::to_string(1000 + name.back());
    entry.seats = 8;
    entry.leaving = leaving;
    return entry;
}

class UpstreamDirectoryTest : public testing::Test
{
protected:
    DirectoryChanges update(const std::vector<UpstreamEntry> &list) { return updateAsOf(list, clock_.now()); }

    DirectoryChanges updateAsOf(const std::vector<UpstreamEntry> &list, TimePoint asOf)
    {
        eras_.note(state_, clock_.now());
        return directory_.update({ list, state_ }, eras_, asOf, clock_.now());
    }

    bool has(const std::string &name) const { return directory_.entries().contains(UpstreamName(name)); }

    SteppedClock clock_;
    StoreState state_;
    StoreEras eras_;
    UpstreamDirectory directory_;
};

TEST_F(UpstreamDirectoryTest, MissingEntryIsRemovedImmediately)
{
    update({ entryOf("a"), entryOf("b") });
    clock_.advance(seconds(1));
    const DirectoryChanges changes = update({ entryOf("a") });
    EXPECT_EQ(changes.removed, std::vector<UpstreamName> { UpstreamName("b") });
    EXPECT_FALSE(has("b"));
}

TEST_F(UpstreamDirectoryTest, UpstreamThatEndsWithoutLeavingIsLost)
{
    update({ entryOf("a"), entryOf("b"), entryOf("c", true) });
    UpstreamEntry restarted = entryOf("a");
    restarted.incarnation = 2;
    const std::vector<UpstreamIdentity> lost { entryOf("a").identity(), entryOf("b").identity() };
    EXPECT_EQ(update({ restarted }).lost, lost) << "c has left";
}

TEST_F(UpstreamDirectoryTest, LeavingIsReportedOnce)
{
    update({ entryOf("a") });
    EXPECT_EQ(update({ entryOf("a", true) }).leaving.size(), 1U);
    EXPECT_TRUE(update({ entryOf("a", true) }).empty());
    EXPECT_TRUE(directory_.entries().find(UpstreamName("a"))->leaving);
}

TEST_F(UpstreamDirectoryTest, EntryMissingAfterRegistryOutageIsRetainedForGracePeriod)
{
    update({ entryOf("a"), entryOf("b") });
    directory_.readFailed();
    clock_.advance(seconds(5));
    update({ entryOf("a") });
    EXPECT_TRUE(has("b"));
    clock_.advance(seconds(2));
    update({ entryOf("a") });
    EXPECT_TRUE(has("b"));
    clock_.advance(ReregistrationGrace);
    update({ entryOf("a") });
    EXPECT_FALSE(has("b"));
}

TEST_F(UpstreamDirectoryTest, LapsedEntryExpiresWithoutAnotherList)
{
    update({ entryOf("a"), entryOf("b") });
    directory_.readFailed();
    clock_.advance(seconds(5));
    update({ entryOf("a") });
    clock_.advance(ReregistrationGrace - milliseconds(1));
    EXPECT_TRUE(directory_.expire(clock_.now()).empty());
    clock_.advance(milliseconds(1));
    EXPECT_EQ(directory_.expire(clock_.now()).removed, std::vector<UpstreamName> { UpstreamName("b") });
    EXPECT_FALSE(has("b"));
    EXPECT_TRUE(has("a"));
}

TEST_F(UpstreamDirectoryTest, EntryListedAfterRegistryRecoveryGetsNoGracePeriod)
{
    update({ entryOf("a"), entryOf("b") });
    directory_.readFailed();
    clock_.advance(seconds(5));
    update({ entryOf("a"), entryOf("b") });
    clock_.advance(milliseconds(900));
    update({ entryOf("a") });
    EXPECT_FALSE(has("b"));
}

TEST_F(UpstreamDirectoryTest, GraceIsCountedFromTheReadThatFoundTheEntryMissing)
{
    update({ entryOf("a"), entryOf("b") });
    directory_.readFailed();
    clock_.advance(seconds(5));
    const TimePoint sent = clock_.now();
    clock_.advance(milliseconds(500));
    updateAsOf({ entryOf("a") }, sent);
    clock_.advance(ReregistrationGrace - milliseconds(550));
    directory_.expire(clock_.now());
    EXPECT_TRUE(has("b"));
    clock_.advance(milliseconds(50));
    directory_.expire(clock_.now());
    EXPECT_FALSE(has("b"));
}

TEST_F(UpstreamDirectoryTest, OutageTooShortForAnEntryToLapseRetainsNothing)
{
    directory_.setHeartbeat(milliseconds(1200));
    update({ entryOf("a"), entryOf("b") });
    directory_.readFailed();
    clock_.advance(seconds(1));
    update({ entryOf("a") });
    EXPECT_FALSE(has("b"));
}

TEST_F(UpstreamDirectoryTest, SecondShortOutageDoesNotRetainEntriesOnceMore)
{
    directory_.setHeartbeat(milliseconds(1200));
    update({ entryOf("a"), entryOf("b") });
    directory_.readFailed();
    clock_.advance(seconds(5));
    update({ entryOf("a"), entryOf("b") });
    directory_.readFailed();
    clock_.advance(milliseconds(1300));
    update({ entryOf("a") });
    EXPECT_FALSE(has("b"));
}

TEST_F(UpstreamDirectoryTest, OutageIsMeasuredFromTheLastAnswerOfAnyRead)
{
    directory_.setHeartbeat(milliseconds(1200));
    update({ entryOf("a"), entryOf("b") });
    directory_.readFailed();
    clock_.advance(seconds(5));
    directory_.readSucceeded(clock_.now());
    clock_.advance(milliseconds(100));
    update({ entryOf("a") });
    EXPECT_TRUE(has("b"));
}

TEST_F(UpstreamDirectoryTest, LapsedEntryIsRemovedWhenItsAddressIsReused)
{
    update({ entryOf("a"), entryOf("b") });
    directory_.readFailed();
    UpstreamEntry successor = entryOf("c");
    successor.address = entryOf("b").address;
    update({ entryOf("a"), successor });
    EXPECT_FALSE(has("b"));
    EXPECT_TRUE(has("c"));
}

TEST_F(UpstreamDirectoryTest, OlderListIsIgnored)
{
    const TimePoint early = clock_.now();
    clock_.advance(seconds(1));
    update({ entryOf("a", true) });
    EXPECT_TRUE(updateAsOf({ entryOf("a") }, early).empty());
    EXPECT_TRUE(directory_.entries().find(UpstreamName("a"))->leaving);
}

TEST_F(UpstreamDirectoryTest, RestartUnderSameNameIsReported)
{
    UpstreamEntry entry = entryOf("a");
    entry.incarnation = 1;
    update({ entry });
    entry.incarnation = 2;
    EXPECT_EQ(update({ entry }).restarted.size(), 1U);
}

/** The store comes back from a copy. */
class RestoredDirectoryTest : public UpstreamDirectoryTest
{
protected:
    RestoredDirectoryTest() { state_ = { 1, 100 }; }

    static UpstreamEntry rowOf(const std::string &name, std::uint64_t version, bool leaving = false)
    {
        UpstreamEntry entry = entryOf(name, leaving);
        entry.rowVersion = version;
        entry.incarnation = 5;
        return entry;
    }

    /** The store comes back from a copy with this newest version. */
    void restore(std::uint64_t version) { state_ = { state_.era + 1, version }; }

    bool isLeaving(const std::string &name) const { return directory_.entries().find(UpstreamName(name))->leaving; }
};

TEST_F(RestoredDirectoryTest, LostEntryIsRetainedForGracePeriodAfterEachRestoration)
{
    update({ rowOf("a", 50), rowOf("b", 99) });
    for (int restoration = 0; restoration < 2; ++restoration) {
        restore(60);
        EXPECT_TRUE(update({ rowOf("a", 50) }).empty());
        clock_.advance(seconds(2));
        EXPECT_TRUE(update({ rowOf("a", 50) }).empty());
        EXPECT_TRUE(has("b"));
    }
    clock_.advance(milliseconds(200));
    EXPECT_EQ(update({ rowOf("a", 50) }).removed.size(), 1U);
}

TEST_F(RestoredDirectoryTest, RestoredEntryDoesNotUndoLeaving)
{
    update({ rowOf("a", 50) });
    update({ rowOf("a", 80, true) });
    restore(60);
    for (int second = 0; second < 15; ++second) {
        update({ rowOf("a", 50) });
        EXPECT_TRUE(isLeaving("a"));
        clock_.advance(seconds(1));
    }
    update({ rowOf("a", 61) });
    EXPECT_FALSE(isLeaving("a")) << "it has written so since";
}

TEST_F(RestoredDirectoryTest, RestoredEntryOfAGoneUpstreamDoesNotReturnUnlessItIsRenewed)
{
    update({ rowOf("a", 50), rowOf("b", 51) });
    state_.version = 110;
    update({ rowOf("a", 50) });
    restore(60);
    update({ rowOf("a", 50), rowOf("b", 51) });
    EXPECT_FALSE(has("b"));
    clock_.advance(seconds(2));
    restore(60);
    update({ rowOf("a", 50), rowOf("b", 51) });
    EXPECT_FALSE(has("b"));
    state_.version = 61;
    update({ rowOf("a", 50), rowOf("b", 61) });
    EXPECT_TRUE(has("b"));
}

TEST_F(RestoredDirectoryTest, RestoredEntryThatDoesNotLapseBelongsToALivingUpstream)
{
    update({ rowOf("a", 50) });
    update({});
    restore(60);
    update({ rowOf("a", 50) });
    EXPECT_FALSE(has("a"));
    clock_.advance(RestoredEntryLifetime);
    update({ rowOf("a", 50) });
    EXPECT_TRUE(has("a"));
}

TEST_F(RestoredDirectoryTest, RestoredEntryDoesNotUndoARestart)
{
    update({ rowOf("a", 50) });
    UpstreamEntry restarted = rowOf("a", 80);
    restarted.incarnation = 6;
    update({ restarted });
    restore(60);
    EXPECT_TRUE(update({ rowOf("a", 50) }).empty());
    EXPECT_EQ(directory_.entries().find(UpstreamName("a"))->incarnation, 6U);
}

TEST_F(RestoredDirectoryTest, LeavingAndRestartsWrittenBeforeTheFirstReadCount)
{
    update({ rowOf("a", 99), rowOf("b", 99) });
    restore(60);
    state_.version = 64;
    UpstreamEntry restarted = rowOf("b", 64);
    restarted.incarnation = 6;
    const DirectoryChanges changes = update({ rowOf("a", 63, true), restarted });
    EXPECT_EQ(changes.leaving.size(), 1U);
    EXPECT_EQ(changes.restarted.size(), 1U);
}

TEST_F(RestoredDirectoryTest, AddressOfAGoneUpstreamStaysWithItsSuccessor)
{
    UpstreamEntry successor = rowOf("b", 90);
    successor.address = rowOf("a", 50).address;
    update({ rowOf("a", 50) });
    update({ successor });
    restore(60);
    EXPECT_TRUE(update({ rowOf("a", 50) }).empty());
    EXPECT_TRUE(has("b"));
    EXPECT_FALSE(has("a"));
}

TEST_F(RestoredDirectoryTest, ListOfAnEarlierEraIsIgnored)
{
    const StoreState before = state_;
    update({ rowOf("a", 50) });
    restore(60);
    update({ rowOf("a", 50), rowOf("c", 55) });
    clock_.advance(seconds(1));
    state_ = before;
    EXPECT_TRUE(update({ rowOf("a", 50), rowOf("d", 70) }).empty());
}

} // namespace
} // namespace GeraniumLever
