#include "servers/relay/relay_queue.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

RequestId idOf(std::uint64_t number)
{
    return RequestId(1, number);
}

/** Serves the whole queue with equal cost per request; returns the request numbers in order of service. */
std::vector<std::uint64_t> serveAll(RelayQueue &queue,
                                    const std::map<RequestId, std::pair<std::uint32_t, TeamName>> &owners)
{
    std::vector<std::uint64_t> order;
    while (!queue.empty()) {
        const RequestId next = queue.first(1).at(0);
        const auto &[tier, team] = owners.at(next);
        queue.charge(tier, team, 1.0);
        queue.erase(tier, team, next);
        order.push_back(next.sequence());
    }
    return order;
}

TEST(RelayQueueTest, HigherTiersAreServedFirst)
{
    RelayQueue queue;
    queue.push(2, TeamName("a"), idOf(1));
    queue.push(0, TeamName("a"), idOf(2));
    queue.push(1, TeamName("a"), idOf(3));
    EXPECT_EQ(queue.first(1), std::vector<RequestId> { idOf(2) });
    EXPECT_EQ(queue.maxAhead(0), 1U);
    EXPECT_EQ(queue.maxAhead(2), 3U);
}

TEST(RelayQueueTest, FloodingTeamGetsOnlyItsShare)
{
    RelayQueue queue;
    std::map<RequestId, std::pair<std::uint32_t, TeamName>> owners;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        queue.push(1, TeamName("flood"), idOf(number));
        owners[idOf(number)] = { 1, TeamName("flood") };
    }
    for (std::uint64_t number = 101; number <= 103; ++number) {
        queue.push(1, TeamName("small"), idOf(number));
        owners[idOf(number)] = { 1, TeamName("small") };
    }
    const std::vector<std::uint64_t> order = serveAll(queue, owners);
    const auto last = std::find(order.begin(), order.end(), 103U);
    EXPECT_LE(last - order.begin(), 6);
}

TEST(RelayQueueTest, ErasedRequestsAreNotServed)
{
    RelayQueue queue;
    queue.push(1, TeamName("a"), idOf(1));
    queue.push(1, TeamName("a"), idOf(2));
    EXPECT_TRUE(queue.erase(1, TeamName("a"), idOf(1)));
    EXPECT_FALSE(queue.erase(1, TeamName("a"), idOf(1)));
    EXPECT_EQ(queue.first(1), std::vector<RequestId> { idOf(2) });
    EXPECT_TRUE(queue.erase(1, TeamName("a"), idOf(2)));
    EXPECT_TRUE(queue.empty());
    EXPECT_TRUE(queue.first(1).empty());
}

TEST(RelayQueueTest, NextRequestsAlternateBetweenTeams)
{
    RelayQueue queue;
    for (std::uint64_t number = 1; number <= 4; ++number) {
        queue.push(1, TeamName("a"), idOf(number));
    }
    queue.push(1, TeamName("b"), idOf(5));
    queue.push(0, TeamName("c"), idOf(6));
    const std::vector<RequestId> expected { idOf(6), idOf(1), idOf(5), idOf(2), idOf(3) };
    EXPECT_EQ(queue.first(5), expected);
    EXPECT_EQ(queue.first(100).size(), 6U);
}

TEST(RelayQueueTest, EstimateCountsAsManyOfEachOtherTeamAsOfOwn)
{
    RelayQueue queue;
    EXPECT_EQ(queue.estimateAhead(1, TeamName("a")), 0U);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        queue.push(1, TeamName("a"), idOf(number));
    }
    queue.push(1, TeamName("b"), idOf(5));
    queue.push(0, TeamName("c"), idOf(6));
    EXPECT_EQ(queue.estimateAhead(1, TeamName("a")), 1U + 4U + 1U);
    EXPECT_EQ(queue.estimateAhead(1, TeamName("b")), 1U + 2U + 1U);
    EXPECT_EQ(queue.estimateAhead(1, TeamName("d")), 1U + 1U + 1U);
    EXPECT_EQ(queue.estimateAhead(0, TeamName("d")), 1U);
    EXPECT_EQ(queue.estimateAhead(2, TeamName("d")), 6U);
}

} // namespace
} // namespace GeraniumLever
