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
    DirectoryChanges update(const std::vector<UpstreamEntry> &list)
    {
        return directory_.update(list, clock_.now(), clock_.now());
    }

    bool has(const std::string &name) const { return directory_.entries().contains(UpstreamName(name)); }

    SteppedClock clock_;
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
    directory_.update({ entryOf("a") }, sent, clock_.now());
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
    EXPECT_TRUE(directory_.update({ entryOf("a") }, early, clock_.now()).empty());
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

} // namespace
} // namespace GeraniumLever
