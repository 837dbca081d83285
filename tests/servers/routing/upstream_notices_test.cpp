#include "servers/routing/routing.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

UpstreamEntry entryOf(const std::string &name, std::uint64_t incarnation)
{
    UpstreamEntry entry;
    entry.name = UpstreamName(name);
    entry.address = "127.0.0.1:1000";
    entry.incarnation = incarnation;
    return entry;
}

class UpstreamNoticesTest : public testing::Test
{
protected:
    void update(const std::vector<UpstreamEntry> &list)
    {
        Table<UpstreamName, UpstreamEntry> entries;
        for (const UpstreamEntry &entry : list) {
            entries.put(entry.name, entry);
        }
        notices_.update(entries, clock_.now());
    }

    SteppedClock clock_;
    UpstreamNotices notices_;
};

TEST_F(UpstreamNoticesTest, LeavingHoldsForOneIncarnationWhateverTheRegistrySays)
{
    notices_.noteLeaving(entryOf("a", 1).identity(), clock_.now());
    update({ entryOf("a", 1) });
    EXPECT_FALSE(notices_.acceptsRequests(entryOf("a", 1)));
    update({});
    EXPECT_FALSE(notices_.acceptsRequests(entryOf("a", 1)));
    EXPECT_TRUE(notices_.acceptsRequests(entryOf("a", 2)));
    EXPECT_TRUE(notices_.acceptsRequests(entryOf("b", 1)));
    UpstreamEntry moved = entryOf("a", 1);
    moved.address = "127.0.0.1:1001";
    EXPECT_TRUE(notices_.acceptsRequests(moved));
}

TEST_F(UpstreamNoticesTest, PauseHoldsForOneIncarnationUntilItsEnd)
{
    const UpstreamEntry entry = entryOf("a", 1);
    const UpstreamIdentity upstream = entry.identity();
    EXPECT_EQ(notices_.pausedUntil(entry), TimePoint());
    notices_.notePause(upstream, std::chrono::seconds(2), clock_.now());
    const TimePoint end = clock_.now() + std::chrono::seconds(2);
    update({});
    update({ entryOf("a", 1) });
    EXPECT_EQ(notices_.pausedUntil(entry), end);
    EXPECT_EQ(notices_.pausedUntil(entryOf("a", 2)), TimePoint());
    EXPECT_FALSE(notices_.isLeaving(entry));
    clock_.advance(std::chrono::seconds(1));
    notices_.notePause(upstream, std::chrono::milliseconds(500), clock_.now());
    EXPECT_EQ(notices_.pausedUntil(entry), end);
    notices_.notePause(upstream, std::chrono::hours(100000), clock_.now());
    EXPECT_EQ(notices_.pausedUntil(entry), clock_.now() + MaxPause);
    clock_.advance(std::chrono::minutes(20));
    update({});
    EXPECT_EQ(notices_.size(), 1U);
}

TEST_F(UpstreamNoticesTest, StatementsBeforeARestartIsRegisteredHoldForTheNextIncarnation)
{
    const UpstreamIdentity upstream = entryOf("a", 1).identity();
    notices_.noteLeaving(upstream, clock_.now());
    notices_.noteAfterLoss(upstream, true, std::nullopt, std::chrono::seconds(3), clock_.now());
    notices_.notePause(upstream, std::chrono::seconds(20), clock_.now());
    notices_.noteAfterLoss(upstream, false, std::chrono::seconds(20), std::chrono::seconds(3), clock_.now());
    update({ entryOf("a", 1) });
    clock_.advance(std::chrono::seconds(4));
    update({ entryOf("a", 2) });
    EXPECT_FALSE(notices_.acceptsRequests(entryOf("a", 2)));
    EXPECT_EQ(notices_.pausedUntil(entryOf("a", 2)), clock_.now() + std::chrono::seconds(10));
    update({ entryOf("a", 3) });
    EXPECT_FALSE(notices_.acceptsRequests(entryOf("a", 3))) << "two restarts may be registered late";
    clock_.advance(std::chrono::milliseconds(1100));
    update({ entryOf("a", 4) });
    EXPECT_TRUE(notices_.acceptsRequests(entryOf("a", 4))) << "it was registered too late";
    EXPECT_EQ(notices_.pausedUntil(entryOf("a", 4)), TimePoint());
}

// Guards against requests to a leaving server that restarted twice before the store showed either start.
TEST_F(UpstreamNoticesTest, LeavingHoldsAfterTwoRestartsThatWereRegisteredOneAfterTheOther)
{
    const UpstreamIdentity upstream = entryOf("a", 1).identity();
    notices_.noteLeaving(upstream, clock_.now());
    notices_.noteAfterLoss(upstream, true, std::nullopt, std::chrono::seconds(1), clock_.now());
    for (const std::uint64_t incarnation : { 2, 3, 4 }) {
        clock_.advance(std::chrono::milliseconds(200));
        update({ entryOf("a", incarnation) });
        EXPECT_FALSE(notices_.acceptsRequests(entryOf("a", incarnation))) << incarnation;
    }
}

TEST_F(UpstreamNoticesTest, LeavingThatWasCarriedOverEndsUnlessItIsStatedAgain)
{
    for (const std::string name : { "a", "b" }) {
        notices_.noteLeaving(entryOf(name, 1).identity(), clock_.now());
        notices_.noteAfterLoss(entryOf(name, 1).identity(), true, std::nullopt, Duration(0), clock_.now());
    }
    update({ entryOf("a", 2), entryOf("b", 2) });
    EXPECT_FALSE(notices_.noteLeaving(entryOf("b", 2).identity(), clock_.now()));
    clock_.advance(std::chrono::seconds(20));
    update({ entryOf("a", 2), entryOf("b", 2) });
    EXPECT_TRUE(notices_.acceptsRequests(entryOf("a", 2)));
    EXPECT_FALSE(notices_.acceptsRequests(entryOf("b", 2)));
}

TEST_F(UpstreamNoticesTest, OnlyStatementsSoonAfterALossAndBeforeTheRegistrationAreCarriedOver)
{
    const UpstreamIdentity upstream = entryOf("a", 1).identity();
    notices_.noteLeaving(upstream, clock_.now());
    notices_.notePause(upstream, std::chrono::seconds(3), clock_.now());
    notices_.noteAfterLoss(upstream, false, std::chrono::seconds(3), Duration(0), clock_.now());
    update({ entryOf("a", 2) });
    EXPECT_TRUE(notices_.acceptsRequests(entryOf("a", 2))) << "it said so before it broke off";
    EXPECT_GT(notices_.pausedUntil(entryOf("a", 2)), clock_.now());
    notices_.noteAfterLoss(entryOf("a", 2).identity(), true, std::nullopt, Duration(0), clock_.now());
    clock_.advance(std::chrono::seconds(6));
    update({ entryOf("a", 3) });
    EXPECT_TRUE(notices_.acceptsRequests(entryOf("a", 3))) << "it was registered too late";
    notices_.noteAfterLoss(entryOf("a", 3).identity(), true, std::nullopt, std::chrono::seconds(30), clock_.now());
    update({ entryOf("a", 4) });
    EXPECT_TRUE(notices_.acceptsRequests(entryOf("a", 4))) << "the loss was too long ago";
}

TEST_F(UpstreamNoticesTest, RegisteredLeavingNeedsNoNotice)
{
    UpstreamEntry entry = entryOf("a", 1);
    entry.leaving = true;
    EXPECT_FALSE(notices_.acceptsRequests(entry));
}

TEST_F(UpstreamNoticesTest, OnlyUpstreamsThatStayUnregisteredAreForgotten)
{
    notices_.noteLeaving(entryOf("a", 1).identity(), clock_.now());
    notices_.noteLeaving(entryOf("b", 1).identity(), clock_.now());
    for (int minute = 0; minute < 20; ++minute) {
        clock_.advance(std::chrono::minutes(1));
        update({ entryOf("a", 1) });
    }
    EXPECT_EQ(notices_.size(), 1U);
    EXPECT_TRUE(notices_.isLeaving(entryOf("a", 1)));
}

} // namespace
} // namespace GeraniumLever
