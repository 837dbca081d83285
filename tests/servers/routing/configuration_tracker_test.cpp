#include "servers/routing/routing.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::seconds;

SiteConfigurationPtr versionOf(std::uint64_t number, std::uint64_t digest = 0)
{
    SiteConfiguration configuration;
    configuration.version = ConfigurationVersion(number);
    configuration.digest = digest;
    return std::make_shared<const SiteConfiguration>(configuration);
}

TEST(ConfigurationTrackerTest, IgnoresOlderVersions)
{
    SteppedClock clock;
    ConfigurationTracker tracker;
    EXPECT_TRUE(tracker.update({ versionOf(7), 0, {} }, {}, clock.now()));
    clock.advance(seconds(1));
    EXPECT_FALSE(tracker.update({ versionOf(5), 0, {} }, {}, clock.now()));
    EXPECT_EQ(tracker.version(), ConfigurationVersion(7));
}

TEST(ConfigurationTrackerTest, OlderVersionDoesNotRenewAge)
{
    SteppedClock clock;
    ConfigurationTracker tracker;
    tracker.update({ versionOf(7), 0, {} }, {}, clock.now());
    clock.advance(seconds(3));
    tracker.update({ versionOf(5), 0, {} }, {}, clock.now());
    EXPECT_EQ(tracker.age(clock.now()), seconds(3));
}

TEST(ConfigurationTrackerTest, AgeCountsFromStartOfRead)
{
    SteppedClock clock;
    ConfigurationTracker tracker;
    EXPECT_FALSE(tracker.age(clock.now()).has_value());
    const TimePoint sent = clock.now();
    clock.advance(seconds(2));
    tracker.update({ versionOf(7), 0, {} }, {}, sent);
    EXPECT_EQ(tracker.age(clock.now()), seconds(2));
    tracker.update({ versionOf(7), 0, {} }, {}, clock.now());
    EXPECT_EQ(tracker.age(clock.now()), seconds(0));
    tracker.update({ versionOf(7), 0, {} }, {}, sent);
    EXPECT_EQ(tracker.age(clock.now()), seconds(0));
}

/** The store is read; what it states grows with each write and goes back at a restoration. */
class RestoredConfigurationTest : public testing::Test
{
protected:
    RestoredConfigurationTest()
    {
        eras_.note(state_, clock_.now());
        clock_.advance(StoreRewriteTime);
        read(10, 90);
        read(12, 120);
    }

    /** Reads a configuration whose row has this version. */
    bool read(std::uint64_t number, std::uint64_t rowVersion, std::uint64_t digest = 0)
    {
        state_.version = std::max(state_.version, rowVersion);
        return readAs(state_, number, rowVersion, digest);
    }

    bool readAs(const StoreState &state, std::uint64_t number, std::uint64_t rowVersion, std::uint64_t digest = 0)
    {
        eras_.note(state, clock_.now());
        return tracker_.update({ versionOf(number, digest), rowVersion, state }, eras_, clock_.now());
    }

    /** The store comes back from a copy with this newest version. */
    void restore(std::uint64_t version) { state_ = { state_.era + 1, version }; }

    std::uint64_t active() const { return tracker_.version().value(); }

    SteppedClock clock_;
    StoreState state_ { 1, 100 };
    StoreEras eras_;
    ConfigurationTracker tracker_;
};

TEST_F(RestoredConfigurationTest, OlderConfigurationOfTheCopyIsNotApplied)
{
    for (int restoration = 0; restoration < 2; ++restoration) {
        restore(100);
        for (int second = 0; second < 8; ++second) {
            EXPECT_FALSE(read(10, 90));
            EXPECT_FALSE(read(11, 95));
            clock_.advance(seconds(1));
        }
    }
    EXPECT_EQ(active(), 12U);
    EXPECT_EQ(tracker_.age(clock_.now()), seconds(16));
    EXPECT_FALSE(read(12, 101));
    EXPECT_EQ(tracker_.age(clock_.now()), seconds(0)) << "it has been written again";
}

TEST_F(RestoredConfigurationTest, ReadsConfirmNothingWhileLostWritesMayBeMissing)
{
    clock_.advance(seconds(1));
    restore(130);
    for (int second = 0; second < 3; ++second) {
        EXPECT_FALSE(read(12, 120));
        EXPECT_EQ(tracker_.age(clock_.now()), seconds(1 + second));
        EXPECT_FALSE(tracker_.confirm(tracker_.id(), eras_, clock_.now()));
        clock_.advance(seconds(1));
    }
    EXPECT_FALSE(read(12, 120));
    EXPECT_EQ(tracker_.age(clock_.now()), seconds(0));
}

TEST_F(RestoredConfigurationTest, ConfigurationsWrittenAgainInTurnAreSteppedOver)
{
    restore(100);
    read(10, 90);
    EXPECT_FALSE(read(10, 101));
    EXPECT_FALSE(read(11, 102));
    EXPECT_FALSE(read(12, 103));
    EXPECT_EQ(tracker_.age(clock_.now()), seconds(0));
    EXPECT_TRUE(read(13, 104));
}

TEST_F(RestoredConfigurationTest, VersionGivenOutAgainStandsForTheNewConfiguration)
{
    restore(100);
    read(10, 90);
    EXPECT_TRUE(read(12, 101, 5));
    restore(100);
    EXPECT_FALSE(read(12, 100, 0)) << "the first one of that version is older";
    EXPECT_FALSE(read(12, 101, 5));
}

TEST_F(RestoredConfigurationTest, LowerVersionIsNewOnceAllLostOnesHaveHadTimeToReturn)
{
    restore(100);
    read(10, 90);
    EXPECT_FALSE(read(11, 101));
    clock_.advance(StoreRewriteTime);
    EXPECT_FALSE(read(10, 90));
    EXPECT_TRUE(read(11, 101));
    EXPECT_EQ(active(), 11U);
}

TEST_F(RestoredConfigurationTest, LateAnswerOfAnEarlierEraIsIgnored)
{
    const StoreState before = state_;
    restore(100);
    read(10, 90);
    clock_.advance(seconds(1));
    EXPECT_TRUE(read(13, 101));
    clock_.advance(seconds(4));
    EXPECT_FALSE(readAs(before, 14, 121));
    EXPECT_FALSE(readAs(before, 13, 121));
    EXPECT_EQ(tracker_.age(clock_.now()), seconds(4));
}

TEST_F(RestoredConfigurationTest, NodeThatStartsAfterTheRestorationLearnsOfItFromOthers)
{
    StoreEras others;
    others.note(state_, clock_.now());
    restore(100);
    others.note(state_, clock_.now());
    clock_.advance(seconds(1));
    const StoreEraReport report = others.report(clock_.now());
    EXPECT_EQ(report, (StoreEraReport { 2, seconds(1), 100 }));

    StoreEras eras;
    ConfigurationTracker tracker;
    eras.note(state_, clock_.now());
    EXPECT_EQ(eras.report(clock_.now()), (StoreEraReport { 2, seconds(0), 100 }));
    tracker.update({ versionOf(10), 90, state_ }, eras, clock_.now());
    EXPECT_EQ(tracker.age(clock_.now()), std::nullopt);
    EXPECT_FALSE(eras.note(report, clock_.now()));
    tracker.confirmLastRead(eras);
    EXPECT_EQ(tracker.age(clock_.now()), std::nullopt);
    clock_.advance(seconds(2));
    tracker.update({ versionOf(10), 90, state_ }, eras, clock_.now());
    EXPECT_EQ(tracker.age(clock_.now()), seconds(0));
}

TEST_F(RestoredConfigurationTest, NodeThatStartsInAnOldEraConfirmsOnceAnotherReportsItsAge)
{
    clock_.advance(seconds(60));
    StoreEras eras;
    ConfigurationTracker tracker;
    eras.note(state_, clock_.now());
    tracker.update({ versionOf(12), 120, state_ }, eras, clock_.now());
    EXPECT_EQ(tracker.age(clock_.now()), std::nullopt);
    clock_.advance(std::chrono::milliseconds(20));
    EXPECT_FALSE(eras.note(eras_.report(clock_.now()), clock_.now()));
    tracker.confirmLastRead(eras);
    EXPECT_EQ(tracker.age(clock_.now()), std::chrono::milliseconds(20));
}

TEST_F(RestoredConfigurationTest, NodeThatStartsAloneConfirmsAfterTheRewriteTime)
{
    StoreEras eras;
    ConfigurationTracker tracker;
    eras.note(state_, clock_.now());
    tracker.update({ versionOf(12), 120, state_ }, eras, clock_.now());
    clock_.advance(StoreRewriteTime);
    EXPECT_EQ(tracker.age(clock_.now()), std::nullopt);
    tracker.update({ versionOf(12), 120, state_ }, eras, clock_.now());
    EXPECT_EQ(tracker.age(clock_.now()), seconds(0));
}

TEST_F(RestoredConfigurationTest, NodeWithoutTheStoreIsNotMisledByOneThatStartedAfterTheRestoration)
{
    StoreEras started;
    restore(100);
    started.note(state_, clock_.now());
    clock_.advance(seconds(1));
    EXPECT_TRUE(eras_.note(started.report(clock_.now()), clock_.now()));
    EXPECT_FALSE(tracker_.confirm(tracker_.id(), eras_, clock_.now()));
    clock_.advance(StoreRewriteTime);
    EXPECT_TRUE(tracker_.confirm(tracker_.id(), eras_, clock_.now()));
}

TEST_F(RestoredConfigurationTest, KnowledgeOfAnEarlierEraChangesNothing)
{
    const StoreEraReport report = [this]() {
        StoreEras others;
        others.note(StoreState { 1, 5 }, clock_.now());
        others.note(StoreState { 2, 6 }, clock_.now());
        return others.report(clock_.now());
    }();
    restore(100);
    read(12, 90);
    restore(100);
    read(12, 90);
    EXPECT_FALSE(eras_.note(report, clock_.now()));
    EXPECT_EQ(eras_.era(), 3U);
    EXPECT_FALSE(eras_.isWrittenInEra(100));
}

TEST_F(RestoredConfigurationTest, NodeThatMissedSeveralErasKeepsItsConfiguration)
{
    restore(100);
    restore(95);
    EXPECT_FALSE(read(10, 90));
    EXPECT_FALSE(read(11, 95));
    EXPECT_EQ(active(), 12U);
    EXPECT_TRUE(read(14, 96));
}

} // namespace
} // namespace GeraniumLever
