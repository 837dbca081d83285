#include "development/load/load.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

LoadSettings allowedSettings()
{
    LoadSettings settings;
    settings.router = "127.0.0.1:80";
    return settings;
}

TEST(LoadSettingsTest, AllowsLoopbackAddressesOnly)
{
    LoadSettings settings = allowedSettings();
    EXPECT_FALSE(findLoadFault(settings).has_value());
    settings.engine = "127.255.0.9:80";
    EXPECT_FALSE(findLoadFault(settings).has_value());
    for (const std::string address : { "", "localhost:80", "10.0.0.1:80", "128.0.0.1:80", "0.0.0.0:80" }) {
        settings = allowedSettings();
        settings.router = address;
        EXPECT_TRUE(findLoadFault(settings).has_value()) << address;
    }
    settings = allowedSettings();
    settings.engine = "10.0.0.1:80";
    EXPECT_TRUE(findLoadFault(settings).has_value());
}

TEST(LoadSettingsTest, RefusesUnboundedRuns)
{
    LoadSettings settings = allowedSettings();
    settings.requests = 1'000'001;
    EXPECT_TRUE(findLoadFault(settings).has_value());
    settings = allowedSettings();
    settings.concurrency = 0;
    EXPECT_TRUE(findLoadFault(settings).has_value());
    settings = allowedSettings();
    settings.duration = std::chrono::minutes(6);
    EXPECT_TRUE(findLoadFault(settings).has_value());
}

/** A record of a stream with the given status and events. */
StreamRecord recordOf(unsigned status, const std::vector<std::string> &events)
{
    StreamRecord record { TimePoint() };
    LatencySamples gaps;
    UpstreamHead head;
    head.status = status;
    record.take(head);
    for (const std::string &event : events) {
        record.take(UpstreamData { AttemptId(), event }, TimePoint(), gaps);
    }
    return record;
}

TEST(StreamRecordTest, CountsAStreamAsWholeOnlyWithItsEndMarkLast)
{
    EXPECT_TRUE(recordOf(200, { "a", "b", "[DONE]" }).whole());
    EXPECT_FALSE(recordOf(200, { "a", "b" }).whole());
    EXPECT_FALSE(recordOf(200, { "[DONE]" }).whole());
    EXPECT_FALSE(recordOf(200, { "a", "[DONE]", "b" }).whole());
    EXPECT_FALSE(recordOf(200, { "a", "[DONE]", "[DONE]" }).whole());
    EXPECT_FALSE(recordOf(503, { "a", "[DONE]" }).whole());
}

TEST(LatencySamplesTest, GivesNearestRankPercentiles)
{
    LatencySamples samples;
    EXPECT_EQ(samples.percentile(0.5), Duration(0));
    for (Duration::rep microseconds = 100; microseconds >= 1; --microseconds) {
        samples.record(Duration(microseconds));
    }
    EXPECT_EQ(samples.percentile(0.5), Duration(50));
    EXPECT_EQ(samples.percentile(0.99), Duration(99));
    EXPECT_EQ(samples.percentile(1), Duration(100));
}

} // namespace
} // namespace GeraniumLever
