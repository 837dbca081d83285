/** Simulates load to check the partition of engines. */
#include "servers/relay/engine_partitioner.h"

#include <map>

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds ShortGap(200);
constexpr milliseconds LongGap(800);
constexpr PromptInfo Chat { 800, 300, {} };
constexpr PromptInfo LongPrompt { 12000, 400, {} };

class EnginePartitionerTest : public testing::Test
{
protected:
    static std::vector<UpstreamName> engines(int count)
    {
        std::vector<UpstreamName> names;
        names.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number) {
            names.emplace_back("e" + std::to_string(number));
        }
        return names;
    }

    std::size_t enginesFor(EnginePartitioner &partitioner, Duration tokenGap, int count = 60)
    {
        return partitioner.enginesFor(PoolName("p"), tokenGap, engines(count), clock_.now()).engines.size();
    }

    /** Sends requests of both kinds for five seconds. */
    void send(EnginePartitioner &partitioner, int chatsPerSecond, int longPromptsPerSecond)
    {
        for (int millisecond = 0; millisecond < 5000; ++millisecond) {
            clock_.advance(milliseconds(1));
            for (int step = 0; step < chatsPerSecond; ++step) {
                if ((millisecond * chatsPerSecond + step) % 1000 == 0) {
                    partitioner.noteSent(ShortGap, Chat, Chat.promptTokens, clock_.now());
                }
            }
            if (longPromptsPerSecond != 0 && millisecond % (1000 / longPromptsPerSecond) == 0) {
                partitioner.noteSent(LongGap, LongPrompt, LongPrompt.promptTokens, clock_.now());
            }
        }
    }

    SteppedClock clock_;
};

TEST_F(EnginePartitionerTest, NoPartitionWithOneKindOfRequest)
{
    EnginePartitioner partitioner;
    send(partitioner, 40, 0);
    EXPECT_EQ(enginesFor(partitioner, ShortGap), 60U);
    EXPECT_FALSE(partitioner.hasOwnPartition(ShortGap, clock_.now()));
}

TEST_F(EnginePartitionerTest, PartitionFollowsSentWork)
{
    EnginePartitioner partitioner;
    send(partitioner, 40, 20);
    const std::size_t few = enginesFor(partitioner, LongGap);
    EXPECT_EQ(few + enginesFor(partitioner, ShortGap), 60U);
    EXPECT_TRUE(partitioner.hasOwnPartition(LongGap, clock_.now()));
    EXPECT_FALSE(partitioner.hasOwnPartition(ShortGap, clock_.now()));
    send(partitioner, 40, 50);
    EXPECT_GT(enginesFor(partitioner, LongGap), few);
    send(partitioner, 200, 20);
    EXPECT_LT(enginesFor(partitioner, LongGap), few);
}

TEST_F(EnginePartitionerTest, OverloadOfTolerantRequestsTakesNoEnginesFromOthers)
{
    // Only requests that were sent are recorded, so the recorded work cannot exceed what the engines serve.
    EnginePartitioner partitioner;
    send(partitioner, 40, 20);
    const std::size_t before = enginesFor(partitioner, ShortGap);
    send(partitioner, 40, 20);
    EXPECT_EQ(enginesFor(partitioner, ShortGap), before);
}

TEST_F(EnginePartitionerTest, NodesThatKnowAllWorkComputeTheSamePartition)
{
    EnginePartitioner nodes[4];
    send(nodes[0], 40, 2);
    send(nodes[1], 10, 4);
    send(nodes[2], 0, 20);
    send(nodes[3], 5, 0);
    for (EnginePartitioner &node : nodes) {
        std::vector<PauseDemand> others;
        for (const EnginePartitioner &other : nodes) {
            if (&other != &node) {
                other.addDemands(others, clock_.now());
            }
        }
        std::map<std::uint32_t, PauseDemand> sums;
        for (const PauseDemand &demand : others) {
            sums[demand.pauseMilliseconds].pauseMilliseconds = demand.pauseMilliseconds;
            sums[demand.pauseMilliseconds].work += demand.work;
        }
        others.clear();
        for (const auto &[tokenGap, demand] : sums) {
            others.push_back(demand);
        }
        node.updateOthers(others, clock_.now());
    }
    const std::vector<UpstreamName> expected =
        nodes[0].enginesFor(PoolName("p"), LongGap, engines(60), clock_.now()).engines;
    EXPECT_GT(expected.size(), 5U);
    for (EnginePartitioner &node : nodes) {
        EXPECT_EQ(node.enginesFor(PoolName("p"), LongGap, engines(60), clock_.now()).engines, expected);
    }
}

} // namespace
} // namespace GeraniumLever
