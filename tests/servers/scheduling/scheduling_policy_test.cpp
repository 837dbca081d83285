#include <deque>

#include "tests/servers/scheduling/scheduling_fixture.h"

namespace GeraniumLever {
namespace {

class SchedulingPolicyTest : public SchedulingFixture
{
protected:
    /** Reports the attempt's first token, then tokens with the given gap, once a second for the given number of
     * seconds. */
    void reportTokens(const SlotGrant &grant, Duration firstToken, Duration gap, int seconds)
    {
        AttemptProgress progress;
        progress.attempt = grant.attempt;
        progress.shard = grant.shard;
        progress.upstream = grant.upstream;
        progress.firstToken = firstToken;
        progress.tokens = 1;
        system_.attemptProgressed(ingress_, progress, clock_.now());
        for (int second = 0; second < seconds; ++second) {
            runTicksFor(std::chrono::seconds(1));
            progress.tokens += static_cast<std::uint32_t>(std::chrono::seconds(1) / gap);
            system_.attemptProgressed(ingress_, progress, clock_.now());
        }
    }

    /** Completes one attempt of the class after the given time, so that the scheduler has measured the class's seat
     * time. */
    void measureSeatTime(const std::string &requestClass, Duration held)
    {
        requestSlot(1000 + measuredSeatTimes_++, requestClass);
        const SlotGrant grant = sentMessages<SlotGrant>().back();
        clock_.advance(held);
        endAttempt(grant, AttemptEnding::Completed);
        commands_.clear();
    }

    std::uint64_t measuredSeatTimes_ = 0;
};

TEST_F(SchedulingPolicyTest, PausesTheLowestTierWithTheFewestTokensToRecompute)
{
    useCatalog(2, 2);
    measureSeatTime("letter", std::chrono::seconds(60));
    requestSlot(1, "sort");
    for (std::uint64_t number = 2; number <= 4; ++number) {
        SlotRequest letter = makeRequest(number, "letter");
        letter.promptTokens = static_cast<std::uint32_t>(number * 1000);
        system_.slotRequested(ingress_, letter, clock_.now(), commands_);
    }
    requestSlot(5, "live");
    runTicksFor(std::chrono::seconds(1));
    ASSERT_EQ(sentMessages<AttemptPause>().size(), 1U);
    EXPECT_EQ(sentMessages<AttemptPause>().front().request, RequestId(9, 2));
    EXPECT_EQ(decisionCount("pause"), 1U);
    for (const SlotGrant &grant : sentMessages<SlotGrant>()) {
        if (grant.request == RequestId(9, 2)) {
            endAttempt(grant, AttemptEnding::Paused);
        }
    }
    EXPECT_EQ(sentMessages<SlotGrant>().back().request, RequestId(9, 5));
}

TEST_F(SchedulingPolicyTest, LongAttemptsLeaveHeadroomForBusyHigherTiers)
{
    useCatalog(2, 8);
    measureSeatTime("letter", std::chrono::seconds(60));
    for (std::uint64_t number = 1; number <= 40; ++number) {
        requestSlot(number, "live");
        clock_.advance(std::chrono::seconds(1));
        endAttempt(sentMessages<SlotGrant>().back(), AttemptEnding::Completed);
    }
    commands_.clear();
    for (std::uint64_t number = 100; number < 130; ++number) {
        requestSlot(number, "letter");
    }
    EXPECT_GE(sentMessages<SlotGrant>().size(), 8U);
    EXPECT_LT(sentMessages<SlotGrant>().size(), 16U);
    // Without further arrivals of the higher tier, its headroom decays and all seats are granted in the end.
    runTicksFor(std::chrono::seconds(60));
    for (std::uint64_t number = 200; number < 210; ++number) {
        requestSlot(number, "letter");
    }
    EXPECT_EQ(sentMessages<SlotGrant>().size(), 16U);
}

TEST_F(SchedulingPolicyTest, NeverPausesForTheSameOrALowerTier)
{
    useCatalog(1, 2);
    measureSeatTime("letter", std::chrono::seconds(60));
    requestSlot(1, "letter");
    requestSlot(2, "live");
    requestSlot(3, "letter");
    runTicksFor(std::chrono::seconds(20));
    EXPECT_TRUE(sentMessages<AttemptPause>().empty());
}

TEST_F(SchedulingPolicyTest, GuaranteeServesTheLowestTierWhileHigherTiersWait)
{
    useCatalog(1, 1);
    requestSlot(1, "live");
    requestSlot(2, "letter");
    std::size_t letterServedAfter = 0;
    for (std::uint64_t number = 3; number < 103 && letterServedAfter == 0; ++number) {
        requestSlot(number, "live");
        endAttempt(sentMessages<SlotGrant>().back(), AttemptEnding::Completed);
        letterServedAfter = sentMessages<SlotGrant>().back().request == RequestId(9, 2) ? number : 0;
    }
    EXPECT_GT(letterServedAfter, 0U);
    EXPECT_LE(letterServedAfter, 55U);
}

TEST_F(SchedulingPolicyTest, RefusesAtOnceRequestsThatCannotBeServedInTime)
{
    useCatalog(1, 1);
    measureSeatTime("sort", std::chrono::seconds(10));
    for (std::uint64_t number = 1; number <= 6; ++number) {
        requestSlot(number, "sort");
    }
    // With a seat time of 10 s and a deadline of 30 s, a request with more than three ahead of it cannot be served in
    // time.
    ASSERT_FALSE(sentMessages<SlotRefusal>().empty());
    EXPECT_EQ(sentMessages<SlotRefusal>().back().request, RequestId(9, 6));
    EXPECT_EQ(sentMessages<SlotRefusal>().back().code, ResultCode::Shed);
    const std::size_t before = sentMessages<SlotRefusal>().size();
    requestSlot(7, "live");
    runTicksFor(std::chrono::milliseconds(100));
    for (const SlotRefusal &refusal : sentMessages<SlotRefusal>()) {
        EXPECT_NE(refusal.request, RequestId(9, 7));
    }
    EXPECT_GE(sentMessages<SlotRefusal>().size(), before);
}

TEST_F(SchedulingPolicyTest, PausesLowerTiersBeforeRefusingAHigherTier)
{
    useCatalog(1, 4);
    measureSeatTime("live", std::chrono::seconds(30));
    measureSeatTime("letter", std::chrono::seconds(60));
    for (std::uint64_t number = 1; number <= 4; ++number) {
        requestSlot(number, number <= 2 ? "letter" : "live");
    }
    std::uint64_t number = 100;
    while (sentMessages<SlotRefusal>().empty() && number < 200) {
        requestSlot(number++, "live");
        clock_.advance(std::chrono::milliseconds(1));
    }
    EXPECT_FALSE(sentMessages<SlotRefusal>().empty());
    EXPECT_EQ(sentMessages<AttemptPause>().size(), 2U);
}

TEST_F(SchedulingPolicyTest, OverloadedHigherTierDoesNotStarveTheLowest)
{
    useCatalog(1, 4);
    measureSeatTime("letter", std::chrono::milliseconds(40));
    constexpr std::uint64_t FirstLetter = 100000;
    std::deque<SlotGrant> running;
    std::size_t letters = 0;
    // Every 10 ms one seat becomes free, and two requests of the highest tier and one of the lowest arrive.
    for (std::uint64_t round = 0; round < 3000; ++round) {
        requestSlot(2 * round, "live");
        requestSlot(2 * round + 1, "live");
        requestSlot(FirstLetter + round, "letter");
        runTicksFor(std::chrono::milliseconds(10));
        if (!running.empty()) {
            endAttempt(running.front(), AttemptEnding::Completed);
            running.pop_front();
        }
        for (const SlotGrant &grant : sentMessages<SlotGrant>()) {
            letters += grant.request.sequence() >= FirstLetter ? 1 : 0;
            running.push_back(grant);
        }
        commands_.clear();
    }
    // The guarantee is 2% of the 3000 grants.
    EXPECT_GE(letters, 50U);
    EXPECT_LE(letters, 120U);
}

TEST_F(SchedulingPolicyTest, FullQueueRefusesTheNewestRequestOfTheLowestTier)
{
    useCatalog(1, 1);
    requestSlot(1, "live");
    for (std::uint64_t number = 2; number <= 10001; ++number) {
        requestSlot(number, "letter");
    }
    EXPECT_TRUE(sentMessages<SlotRefusal>().empty());
    requestSlot(20000, "live");
    ASSERT_EQ(sentMessages<SlotRefusal>().size(), 1U);
    EXPECT_EQ(sentMessages<SlotRefusal>().front().request, RequestId(9, 10001));
    EXPECT_EQ(sentMessages<SlotRefusal>().front().code, ResultCode::QueueFull);
    requestSlot(20001, "letter");
    EXPECT_EQ(sentMessages<SlotRefusal>().back().request, RequestId(9, 20001));
}

TEST_F(SchedulingPolicyTest, ChoosesTheUpstreamThatHasThePrefixCached)
{
    useCatalog(4, 8);
    requestSlot(1, "live");
    reportTokens(sentMessages<SlotGrant>().back(), std::chrono::milliseconds(100), std::chrono::milliseconds(20), 1);
    SlotRequest request = makeRequest(2, "live");
    request.promptTokens = 4000;
    request.prefixHashes = { 11, 12, 13 };
    for (std::uint64_t index = 0; index < request.prefixHashes.size(); ++index) {
        system_.cacheChanged(CacheEvent { UpstreamName("u3"), index + 1, request.prefixHashes[index], true },
                             clock_.now());
    }
    SlotRequest first = makeRequest(3, "live");
    first.promptTokens = 1000;
    system_.slotRequested(ingress_, first, clock_.now(), commands_);
    reportTokens(sentMessages<SlotGrant>().back(), std::chrono::milliseconds(100), std::chrono::milliseconds(20), 1);
    system_.slotRequested(ingress_, request, clock_.now(), commands_);
    EXPECT_EQ(sentMessages<SlotGrant>().back().upstream, UpstreamName("u3"));
}

TEST_F(SchedulingPolicyTest, EjectsASlowUpstream)
{
    useCatalog(8, 8);
    for (std::uint64_t number = 1; number <= 40; ++number) {
        requestSlot(number, "sort");
    }
    for (const SlotGrant &grant : sentMessages<SlotGrant>()) {
        const bool slow = grant.upstream == UpstreamName("u5");
        reportTokens(grant, std::chrono::milliseconds(100), std::chrono::milliseconds(slow ? 100 : 10), 2);
    }
    runTicksFor(std::chrono::seconds(1));
    EXPECT_GE(decisionCount("eject"), 1U);
    commands_.clear();
    for (std::uint64_t number = 50; number <= 60; ++number) {
        requestSlot(number, "live");
        EXPECT_NE(sentMessages<SlotGrant>().back().upstream, UpstreamName("u5"));
    }
}

TEST_F(SchedulingPolicyTest, NeverEjectsMoreThanHalfOfAShard)
{
    useCatalog(5, 8);
    for (std::uint64_t number = 1; number <= 40; ++number) {
        requestSlot(number, "sort");
    }
    for (const SlotGrant &grant : sentMessages<SlotGrant>()) {
        const int milliseconds = grant.upstream < UpstreamName("u3") ? 10 : 100;
        reportTokens(grant, std::chrono::milliseconds(100), std::chrono::milliseconds(milliseconds), 2);
    }
    EXPECT_EQ(decisionCount("eject"), 2U);
    for (const SlotGrant &grant : sentMessages<SlotGrant>()) {
        const int milliseconds = grant.upstream < UpstreamName("u1") ? 1 : 500;
        reportTokens(grant, std::chrono::milliseconds(100), std::chrono::milliseconds(milliseconds), 2);
    }
    EXPECT_LE(decisionCount("eject") - decisionCount("readmit"), 2U);
}

TEST_F(SchedulingPolicyTest, RefusingUpstreamGetsOneAttemptAtATime)
{
    useCatalog(2, 4);
    std::uint64_t number = 0;
    requestSlot(++number, "live");
    const UpstreamName broken = sentMessages<SlotGrant>().back().upstream;
    endAttempt(sentMessages<SlotGrant>().back(), AttemptEnding::Refused);
    commands_.clear();
    requestSlot(++number, "live");
    requestSlot(++number, "live");
    for (const SlotGrant &grant : sentMessages<SlotGrant>()) {
        EXPECT_NE(grant.upstream, broken);
    }
    runTicksFor(std::chrono::seconds(2));
    for (int index = 0; index < 10; ++index) {
        requestSlot(++number, "live");
    }
    EXPECT_EQ(system_.inFlightAt(broken), 1U);
}

TEST_F(SchedulingPolicyTest, RetriesAreLimitedToTheirBudget)
{
    useCatalog(2, 4);
    std::size_t refused = 0;
    for (std::uint64_t number = 1; number <= 40; ++number) {
        SlotRequest retry = makeRequest(number, "live");
        retry.retry = true;
        system_.slotRequested(ingress_, retry, clock_.now(), commands_);
    }
    for (const SlotRefusal &refusal : sentMessages<SlotRefusal>()) {
        refused += refusal.code == ResultCode::Shed ? 1 : 0;
    }
    // The burst covers two upstreams of four seats; each further retry takes ten requests to earn.
    EXPECT_GE(refused, 40U - 8U - 4U);
}

TEST_F(SchedulingPolicyTest, LaggingReportDoesNotHideSeatsThatWereJustFreed)
{
    useCatalog(1, 2);
    requestSlot(1, "live");
    requestSlot(2, "live");
    endAttempt(sentMessages<SlotGrant>().front(), AttemptEnding::Completed);
    LoadReport report;
    report.upstream = UpstreamName("u0");
    report.running = 2;
    system_.loadReported(report, clock_.now());
    requestSlot(3, "live");
    EXPECT_EQ(sentMessages<SlotGrant>().size(), 3U);
}

TEST_F(SchedulingPolicyTest, RequestsOfOtherSchedulersInAReportTakeSeats)
{
    useCatalog(1, 2);
    LoadReport report;
    report.upstream = UpstreamName("u0");
    report.running = 2;
    system_.loadReported(report, clock_.now());
    requestSlot(1, "live");
    EXPECT_TRUE(sentMessages<SlotGrant>().empty());
    report.running = 1;
    system_.loadReported(report, clock_.now());
    runTicksFor(std::chrono::milliseconds(5));
    EXPECT_EQ(sentMessages<SlotGrant>().size(), 1U);
}

} // namespace
} // namespace GeraniumLever
