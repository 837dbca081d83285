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

TEST(ConfigurationKeeperTest, NeverGoesBack)
{
    SteppedClock clock;
    ConfigurationKeeper keeper;
    EXPECT_TRUE(keeper.learn(versionOf(7), clock.now()));
    clock.advance(seconds(1));
    EXPECT_FALSE(keeper.learn(versionOf(5), clock.now()));
    EXPECT_EQ(keeper.version(), ConfigurationVersion(7));
}

TEST(ConfigurationKeeperTest, AnOlderVersionProvesNothingOfTheNewerOne)
{
    SteppedClock clock;
    ConfigurationKeeper keeper;
    keeper.learn(versionOf(7), clock.now());
    clock.advance(seconds(3));
    keeper.learn(versionOf(5), clock.now());
    EXPECT_EQ(keeper.age(clock.now()), seconds(3));
}

TEST(ConfigurationKeeperTest, AgeCountsFromTheSendingOfTheRead)
{
    SteppedClock clock;
    ConfigurationKeeper keeper;
    EXPECT_FALSE(keeper.age(clock.now()).has_value());
    const TimePoint sent = clock.now();
    clock.advance(seconds(2));
    keeper.learn(versionOf(7), sent);
    EXPECT_EQ(keeper.age(clock.now()), seconds(2));
    keeper.learn(versionOf(7), clock.now());
    EXPECT_EQ(keeper.age(clock.now()), seconds(0));
    keeper.learn(versionOf(7), sent);
    EXPECT_EQ(keeper.age(clock.now()), seconds(0));
}

} // namespace
} // namespace GeraniumLever
