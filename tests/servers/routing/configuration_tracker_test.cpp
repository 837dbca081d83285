#include "servers/routing/routing.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::seconds;

SiteConfigurationPtr versionOf(std::uint64_t number)
{
    SiteConfiguration configuration;
    configuration.version = ConfigurationVersion(number);
    return std::make_shared<const SiteConfiguration>(configuration);
}

TEST(ConfigurationTrackerTest, IgnoresOlderVersions)
{
    SteppedClock clock;
    ConfigurationTracker tracker;
    EXPECT_TRUE(tracker.update(versionOf(7), clock.now()));
    clock.advance(seconds(1));
    EXPECT_FALSE(tracker.update(versionOf(5), clock.now()));
    EXPECT_EQ(tracker.version(), ConfigurationVersion(7));
}

TEST(ConfigurationTrackerTest, OlderVersionDoesNotRenewAge)
{
    SteppedClock clock;
    ConfigurationTracker tracker;
    tracker.update(versionOf(7), clock.now());
    clock.advance(seconds(3));
    tracker.update(versionOf(5), clock.now());
    EXPECT_EQ(tracker.age(clock.now()), seconds(3));
}

TEST(ConfigurationTrackerTest, AgeCountsFromStartOfRead)
{
    SteppedClock clock;
    ConfigurationTracker tracker;
    EXPECT_FALSE(tracker.age(clock.now()).has_value());
    const TimePoint sent = clock.now();
    clock.advance(seconds(2));
    tracker.update(versionOf(7), sent);
    EXPECT_EQ(tracker.age(clock.now()), seconds(2));
    tracker.update(versionOf(7), clock.now());
    EXPECT_EQ(tracker.age(clock.now()), seconds(0));
    tracker.update(versionOf(7), sent);
    EXPECT_EQ(tracker.age(clock.now()), seconds(0));
}

} // namespace
} // namespace GeraniumLever
