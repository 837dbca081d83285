#include "tests/servers/scheduling/scheduling_fixture.h"

namespace GeraniumLever {
namespace {

using SchedulingSystemTest = SchedulingFixture;

TEST_F(SchedulingSystemTest, GrantsAtOnceUpToTheNumberOfSeats)
{
    useCatalog(2, 2);
    for (std::uint64_t number = 1; number <= 5; ++number) {
        requestSlot(number, "live");
    }
    EXPECT_EQ(sentMessages<SlotGrant>().size(), 4U);
    EXPECT_EQ(decisionCount("grant"), 4U);
    EXPECT_EQ(system_.inFlightAt(UpstreamName("u0")), 2U);
    EXPECT_EQ(system_.inFlightAt(UpstreamName("u1")), 2U);
    endAttempt(sentMessages<SlotGrant>().front(), AttemptEnding::Completed);
    EXPECT_EQ(sentMessages<SlotGrant>().size(), 5U);
}

TEST_F(SchedulingSystemTest, HigherTierIsServedFirst)
{
    useCatalog(1, 1);
    requestSlot(1, "sort");
    requestSlot(2, "letter");
    requestSlot(3, "live");
    endAttempt(sentMessages<SlotGrant>().back(), AttemptEnding::Completed);
    EXPECT_EQ(sentMessages<SlotGrant>().back().request, RequestId(9, 3));
}

TEST_F(SchedulingSystemTest, RefusesAtTheDeadlineWithRetryAfter)
{
    useCatalog(1, 1);
    requestSlot(1, "sort");
    SlotRequest late = makeRequest(2, "sort");
    late.timeLeft = std::chrono::milliseconds(50);
    system_.slotRequested(ingress_, late, clock_.now(), commands_);
    runTicksFor(std::chrono::milliseconds(50));
    ASSERT_EQ(sentMessages<SlotRefusal>().size(), 1U);
    EXPECT_EQ(sentMessages<SlotRefusal>().front().request, late.request);
    EXPECT_GT(sentMessages<SlotRefusal>().front().retryAfter, Duration(0));
    EXPECT_EQ(decisionCount("refuse"), 1U);
}

TEST_F(SchedulingSystemTest, RepeatOfAGrantedRequestGetsTheSameGrant)
{
    useCatalog(1, 2);
    requestSlot(1, "live");
    requestSlot(1, "live");
    ASSERT_EQ(sentMessages<SlotGrant>().size(), 2U);
    EXPECT_EQ(sentMessages<SlotGrant>().front(), sentMessages<SlotGrant>().back());
    EXPECT_EQ(system_.inFlightAt(UpstreamName("u0")), 1U);
}

TEST_F(SchedulingSystemTest, RetryThatExcludesItsUpstreamGetsAnotherSeat)
{
    useCatalog(2, 1);
    requestSlot(1, "live");
    SlotRequest retry = makeRequest(1, "live");
    retry.retry = true;
    retry.excluded = { sentMessages<SlotGrant>().front().upstream };
    system_.slotRequested(ingress_, retry, clock_.now(), commands_);
    ASSERT_EQ(sentMessages<SlotGrant>().size(), 2U);
    EXPECT_NE(sentMessages<SlotGrant>().back().upstream, sentMessages<SlotGrant>().front().upstream);
    EXPECT_EQ(system_.inFlightAt(sentMessages<SlotGrant>().front().upstream), 0U);
}

TEST_F(SchedulingSystemTest, CancelRemovesTheQueuedRequestOrFreesTheSeat)
{
    useCatalog(1, 1);
    requestSlot(1, "live");
    requestSlot(2, "live");
    requestSlot(3, "live");
    system_.slotCancelled(ingress_, SlotCancel { RequestId(9, 2), shard_ }, clock_.now(), commands_);
    system_.slotCancelled(ingress_, SlotCancel { RequestId(9, 1), shard_ }, clock_.now(), commands_);
    EXPECT_EQ(sentMessages<SlotGrant>().back().request, RequestId(9, 3));
    EXPECT_EQ(sentMessages<SlotGrant>().size(), 2U);
}

TEST_F(SchedulingSystemTest, LostIngressFreesItsSeatsAndQueuedRequests)
{
    useCatalog(1, 1);
    requestSlot(1, "live");
    requestSlot(2, "live");
    system_.slotRequested(NodeName("entry-3"), makeRequest(3, "live"), clock_.now(), commands_);
    system_.nodeLost(ingress_, clock_.now(), commands_);
    EXPECT_EQ(sentMessages<SlotGrant>().back().request, RequestId(9, 3));
    EXPECT_EQ(system_.inFlightAt(UpstreamName("u0")), 1U);
}

TEST_F(SchedulingSystemTest, RegisteredAttemptsTakeSeats)
{
    useCatalog(1, 1);
    AttemptRegistration registration;
    registration.attempt = AttemptId(5, 5);
    registration.request = RequestId(9, 50);
    registration.shard = shard_;
    registration.upstream = UpstreamName("u0");
    registration.requestClass = ClassName("sort");
    system_.attemptRegistered(ingress_, registration, clock_.now());
    requestSlot(1, "live");
    EXPECT_TRUE(sentMessages<SlotGrant>().empty());
    endAttempt(SlotGrant { registration.request, registration.attempt, registration.upstream, shard_ },
               AttemptEnding::Completed);
    EXPECT_EQ(sentMessages<SlotGrant>().size(), 1U);
}

TEST_F(SchedulingSystemTest, LeavingOrHeldUpstreamsGetNoGrants)
{
    useCatalog(2, 4);
    system_.upstreamLeaving(UpstreamName("u0"), true, clock_.now());
    requestSlot(1, "live");
    EXPECT_EQ(sentMessages<SlotGrant>().back().upstream, UpstreamName("u1"));
    system_.upstreamHeld(UpstreamName("u1"), true, clock_.now());
    requestSlot(2, "live");
    ASSERT_EQ(sentMessages<SlotRefusal>().size(), 1U);
    EXPECT_EQ(sentMessages<SlotRefusal>().front().code, ResultCode::NoUpstream);
}

TEST_F(SchedulingSystemTest, QueuedRequestsAreRefusedWhenTheLastUpstreamLeaves)
{
    useCatalog(1, 1);
    requestSlot(1, "live");
    requestSlot(2, "live");
    system_.upstreamLeaving(UpstreamName("u0"), true, clock_.now());
    runTicksFor(std::chrono::milliseconds(5));
    ASSERT_EQ(sentMessages<SlotRefusal>().size(), 1U);
    EXPECT_EQ(sentMessages<SlotRefusal>().front().request, RequestId(9, 2));
}

TEST_F(SchedulingSystemTest, WaitingRequestsOfRemovedClassesAndShardsAreRefused)
{
    useCatalog(1, 1);
    requestSlot(1, "live");
    requestSlot(2, "sort");
    requestSlot(3, "letter");
    catalog_ = std::make_shared<const Catalog>(
        catalog_->withChanges({ Removal { EntityKind::RequestClass, "sort" } }, TicketNumber(2)));
    system_.applyCatalog(catalog_, clock_.now());
    runTicksFor(std::chrono::milliseconds(5));
    ASSERT_EQ(sentMessages<SlotRefusal>().size(), 1U);
    EXPECT_EQ(sentMessages<SlotRefusal>().back().code, ResultCode::UnknownClass);
    catalog_ = std::make_shared<const Catalog>(
        catalog_->withChanges({ Removal { EntityKind::Upstream, "u0" } }, TicketNumber(3)));
    system_.applyCatalog(catalog_, clock_.now());
    runTicksFor(std::chrono::milliseconds(5));
    EXPECT_EQ(sentMessages<SlotRefusal>().back().request, RequestId(9, 3));
}

TEST_F(SchedulingSystemTest, SlowReadersDoNotMakeAnUpstreamLookSlow)
{
    useCatalog(2, 8);
    for (std::uint64_t number = 1; number <= 8; ++number) {
        requestSlot(number, "live");
    }
    const std::vector<SlotGrant> grants = sentMessages<SlotGrant>();
    ASSERT_EQ(grants.size(), 8U);
    for (std::uint32_t second = 0; second < 40; ++second) {
        for (const SlotGrant &grant : grants) {
            const bool slow = grant.upstream == UpstreamName("u0");
            const std::uint32_t tokens = 1 + second * (slow ? 4 : 100);
            system_.attemptProgressed(
                ingress_,
                { grant.attempt, shard_, grant.upstream, std::chrono::milliseconds(50), tokens, slow },
                clock_.now());
        }
        runTicksFor(std::chrono::seconds(1));
    }
    for (const Command &command : commands_) {
        const Decision *decision = std::get_if<Decision>(&command);
        EXPECT_TRUE(decision == nullptr || decision->kind != "eject");
    }
}

TEST_F(SchedulingSystemTest, SeatShareLimitsEveryUpstreamForLowerTiers)
{
    useCatalog(2, 8);
    system_.setSeatShare(0.25);
    for (std::uint64_t number = 1; number <= 10; ++number) {
        requestSlot(number, "sort");
    }
    EXPECT_EQ(sentMessages<SlotGrant>().size(), 4U);
    EXPECT_EQ(system_.inFlightAt(UpstreamName("u0")), 2U);
    EXPECT_EQ(system_.inFlightAt(UpstreamName("u1")), 2U);
}

TEST_F(SchedulingSystemTest, HighestTierIsLimitedBySeatsButNotBySeatShare)
{
    useCatalog(2, 8);
    system_.setSeatShare(0.25);
    for (std::uint64_t number = 1; number <= 4; ++number) {
        requestSlot(number, "sort");
    }
    for (std::uint64_t number = 5; number <= 30; ++number) {
        requestSlot(number, "live");
    }
    EXPECT_EQ(sentMessages<SlotGrant>().size(), 16U);
    EXPECT_EQ(system_.inFlightAt(UpstreamName("u0")), 8U);
    EXPECT_EQ(system_.inFlightAt(UpstreamName("u1")), 8U);
}

TEST_F(SchedulingSystemTest, SummariesCountFreeSeats)
{
    useCatalog(2, 4);
    requestSlot(1, "live");
    const std::vector<PoolSummary> summaries = system_.summaries(clock_.now());
    ASSERT_EQ(summaries.size(), 1U);
    EXPECT_EQ(summaries.front().totalSeats, 8U);
    EXPECT_EQ(summaries.front().freeSeats, 7U);
}

} // namespace
} // namespace GeraniumLever
