#include "servers/scheduling/waiting_queue.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

constexpr TimePoint Start { std::chrono::seconds(10) };

WaitingRequest makeWaiting(std::uint64_t number, const std::string &team, std::uint32_t tier, int deadlineSeconds)
{
    WaitingRequest waiting;
    waiting.request.request = RequestId(1, number);
    waiting.request.team = TeamName(team);
    waiting.request.requestClass = ClassName(std::string("class").append(std::to_string(tier)));
    waiting.tier = tier;
    waiting.sequence = number;
    waiting.arrivedAt = Start;
    waiting.onTimeUntil = Start + std::chrono::seconds(60);
    waiting.deadline = Start + std::chrono::seconds(deadlineSeconds);
    return waiting;
}

const ClassRank rankOfTier0 { 0, ServiceGroup::OnTime, ClassName("class0") };

TEST(WaitingQueueTest, ServesTeamsByWeight)
{
    WaitingQueue queue;
    for (std::uint64_t number = 0; number < 100; ++number) {
        queue.push(makeWaiting(2 * number, "heavy", 0, 5));
        queue.push(makeWaiting(2 * number + 1, "light", 0, 5));
    }
    int heavy = 0;
    for (int served = 0; served < 40; ++served) {
        const RequestId next = queue.candidates(rankOfTier0, 1).front();
        const std::uint32_t weight = queue.find(next)->request.team == TeamName("heavy") ? 3 : 1;
        heavy += queue.dequeue(next, 1.0, weight).request.team == TeamName("heavy") ? 1 : 0;
    }
    EXPECT_NEAR(heavy, 30, 1);
}

TEST(WaitingQueueTest, IdleTeamEarnsNoCredit)
{
    WaitingQueue queue;
    for (std::uint64_t number = 0; number < 50; ++number) {
        queue.push(makeWaiting(number, "busy", 0, 5));
    }
    for (int served = 0; served < 30; ++served) {
        queue.dequeue(queue.candidates(rankOfTier0, 1).front(), 1.0, 1);
    }
    for (std::uint64_t number = 100; number < 120; ++number) {
        queue.push(makeWaiting(number, "late", 0, 5));
    }
    int late = 0;
    for (int served = 0; served < 10; ++served) {
        late +=
            queue.dequeue(queue.candidates(rankOfTier0, 1).front(), 1.0, 1).request.team == TeamName("late") ? 1 : 0;
    }
    EXPECT_NEAR(late, 5, 1);
}

TEST(WaitingQueueTest, EarliestDeadlineFirstWithinATeam)
{
    WaitingQueue queue;
    queue.push(makeWaiting(1, "t", 0, 9));
    queue.push(makeWaiting(2, "t", 0, 3));
    EXPECT_EQ(queue.candidates(rankOfTier0, 2), (std::vector<RequestId> { RequestId(1, 2), RequestId(1, 1) }));
    EXPECT_EQ(queue.expired(Start + std::chrono::seconds(3)), (std::vector<RequestId> { RequestId(1, 2) }));
}

TEST(WaitingQueueTest, LateRequestsGoBehindThoseOnTime)
{
    WaitingQueue queue;
    queue.push(makeWaiting(1, "t", 0, 100));
    queue.demoteLate(Start + std::chrono::seconds(60));
    queue.push(makeWaiting(2, "t", 0, 100));
    ASSERT_EQ(queue.ranks().size(), 2U);
    EXPECT_EQ(queue.candidates(queue.ranks().front(), 1).front(), RequestId(1, 2));
    EXPECT_EQ(queue.sizeOfClass(0, rankOfTier0.name), 2U);
}

TEST(WaitingQueueTest, NewestOfLowestTierIsItsLastArrival)
{
    WaitingQueue queue;
    EXPECT_EQ(queue.newestOfLowestTier(), nullptr);
    queue.push(makeWaiting(1, "t", 2, 9));
    queue.push(makeWaiting(2, "t", 2, 3));
    queue.push(makeWaiting(3, "t", 0, 3));
    EXPECT_EQ(queue.newestOfLowestTier()->request.request, RequestId(1, 2));
}

TEST(WaitingQueueTest, RepeatedRequestKeepsItsPlaceInArrivalOrder)
{
    WaitingQueue queue;
    queue.push(makeWaiting(1, "t", 0, 9));
    WaitingRequest repeat = makeWaiting(5, "t", 1, 4);
    repeat.request.request = RequestId(1, 1);
    queue.push(repeat);
    EXPECT_EQ(queue.size(), 1U);
    EXPECT_EQ(queue.sizeOf(rankOfTier0), 0U);
    EXPECT_EQ(queue.find(RequestId(1, 1))->sequence, 1U);
}

} // namespace
} // namespace GeraniumLever
