/** Plays loads against the division of engines. */
#include "servers/relay/engine_partitioner.h"

#include <map>

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds ShortPause(200);
constexpr milliseconds LongPause(800);
constexpr PromptInfo Chat { 800, 300, {} };
constexpr PromptInfo Letter { 12000, 400, {} };

class EngineSharingTest : public testing::Test
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

    std::size_t enginesFor(EngineSharing &sharing, Duration pause, int count = 60)
    {
        return sharing.enginesFor(PoolName("p"), pause, engines(count), clock_.now()).engines.size();
    }

    /** Sends requests of both kinds for five seconds. */
    void send(EngineSharing &sharing, int chatsASecond, int lettersASecond)
    {
        for (int millisecond = 0; millisecond < 5000; ++millisecond) {
            clock_.advance(milliseconds(1));
            for (int step = 0; step < chatsASecond; ++step) {
                if ((millisecond * chatsASecond + step) % 1000 == 0) {
                    sharing.noteSent(ShortPause, Chat, Chat.promptTokens, clock_.now());
                }
            }
            if (lettersASecond != 0 && millisecond % (1000 / lettersASecond) == 0) {
                sharing.noteSent(LongPause, Letter, Letter.promptTokens, clock_.now());
            }
        }
    }

    SteppedClock clock_;
};

TEST_F(EngineSharingTest, WithOneKindOfRequestsThereIsNoDivision)
{
    EngineSharing sharing;
    send(sharing, 40, 0);
    EXPECT_EQ(enginesFor(sharing, ShortPause), 60U);
    EXPECT_FALSE(sharing.bearsLongPauses(ShortPause, clock_.now()));
}

TEST_F(EngineSharingTest, EnginesFollowTheWorkThatIsSent)
{
    EngineSharing sharing;
    send(sharing, 40, 20);
    const std::size_t few = enginesFor(sharing, LongPause);
    EXPECT_EQ(few + enginesFor(sharing, ShortPause), 60U);
    EXPECT_TRUE(sharing.bearsLongPauses(LongPause, clock_.now()));
    EXPECT_FALSE(sharing.bearsLongPauses(ShortPause, clock_.now()));
    send(sharing, 40, 50);
    EXPECT_GT(enginesFor(sharing, LongPause), few);
    send(sharing, 200, 20);
    EXPECT_LT(enginesFor(sharing, LongPause), few);
}

TEST_F(EngineSharingTest, ARushThatEnginesCannotBearTakesNoEnginesFromLiveRequests)
{
    // Only what is sent is noted, so that a rush grows no further than its engines can serve.
    EngineSharing sharing;
    send(sharing, 40, 20);
    const std::size_t before = enginesFor(sharing, ShortPause);
    send(sharing, 40, 20);
    EXPECT_EQ(enginesFor(sharing, ShortPause), before);
}

TEST_F(EngineSharingTest, AllNodesDivideAlikeOnceTheyKnowTheOthersWork)
{
    EngineSharing nodes[4];
    send(nodes[0], 40, 2);
    send(nodes[1], 10, 4);
    send(nodes[2], 0, 20);
    send(nodes[3], 5, 0);
    for (EngineSharing &node : nodes) {
        std::vector<PauseDemand> others;
        for (const EngineSharing &other : nodes) {
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
        for (const auto &[pause, demand] : sums) {
            others.push_back(demand);
        }
        node.learnOthers(others, clock_.now());
    }
    const std::vector<UpstreamName> expected =
        nodes[0].enginesFor(PoolName("p"), LongPause, engines(60), clock_.now()).engines;
    EXPECT_GT(expected.size(), 5U);
    for (EngineSharing &node : nodes) {
        EXPECT_EQ(node.enginesFor(PoolName("p"), LongPause, engines(60), clock_.now()).engines, expected);
    }
}

} // namespace
} // namespace GeraniumLever
