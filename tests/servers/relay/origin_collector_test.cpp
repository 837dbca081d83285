#include "servers/relay/origin_collector.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::seconds;

const StreamOrigin origin { PoolName("engines"), "v1" };

class OriginCollectorTest : public testing::Test
{
protected:
    OriginCollector::Received receive(const std::string &node,
                                      std::uint64_t sequence,
                                      std::vector<std::uint64_t> streams,
                                      Duration lifetime = seconds(20))
    {
        OriginReport report { NodeName(node), 1, sequence, lifetime, {} };
        if (!streams.empty()) {
            report.streams[origin] = std::move(streams);
        }
        return collector_.receive(report, clock_.now());
    }

    std::size_t count()
    {
        OriginStreams streams;
        collector_.takeStreams(streams);
        return countStreams(streams);
    }

    SteppedClock clock_;
    OriginCollector collector_;
};

TEST_F(OriginCollectorTest, NewestReportOfEachNodeHolds)
{
    EXPECT_EQ(receive("a", 1, { 1, 2 }), OriginCollector::Received::NewStreams);
    EXPECT_EQ(receive("b", 1, { 3 }), OriginCollector::Received::NewStreams);
    EXPECT_EQ(count(), 3U);
    EXPECT_EQ(receive("a", 3, { 2 }), OriginCollector::Received::Shorter);
    EXPECT_EQ(receive("a", 2, { 1, 2, 4 }), OriginCollector::Received::Ignored) << "it has arrived late";
    EXPECT_EQ(count(), 2U);
}

TEST_F(OriginCollectorTest, ReportIsStoredOnceTheRowThatContainsItIsWritten)
{
    receive("a", 1, { 1 });
    count();
    receive("a", 2, { 1, 2 });
    EXPECT_EQ(collector_.storedSequence(NodeName("a"), 1), 0U);
    collector_.noteStored();
    EXPECT_EQ(collector_.storedSequence(NodeName("a"), 1), 1U);
    EXPECT_EQ(collector_.storedSequence(NodeName("a"), 2), 0U) << "another incarnation";
}

// Guards against the streams of a node that has ended being dropped before their callers come back.
TEST_F(OriginCollectorTest, StreamsOfANodeThatHasEndedAreKeptForTheirLifetime)
{
    receive("a", 1, { 1 });
    clock_.advance(seconds(19));
    EXPECT_FALSE(collector_.expire(clock_.now()));
    EXPECT_EQ(count(), 1U);
    clock_.advance(seconds(1));
    EXPECT_TRUE(collector_.expire(clock_.now()));
    EXPECT_EQ(count(), 0U);
}

TEST_F(OriginCollectorTest, NumberOfStreamsIsBounded)
{
    std::vector<std::uint64_t> streams(1000);
    EXPECT_EQ(receive("a", 1, streams), OriginCollector::Received::NewStreams);
    EXPECT_EQ(receive("b", 1, streams), OriginCollector::Received::Ignored) << "the node stores them itself";
    EXPECT_EQ(receive("a", 2, streams), OriginCollector::Received::Shorter);
    EXPECT_LE(count(), OriginCollector::MaxStreams);
}

} // namespace
} // namespace GeraniumLever
