#include <deque>

#include "tests/servers/scheduling/scheduling_fixture.h"

namespace GeraniumLever {
namespace {

class SchedulingPolicyTest : public SchedulingFixture
{
protected:
    /** Reports the attempt's first token, then tokens at the given gap for some seconds. */
    void stream(const SlotGrant &grant, Duration firstToken, Duration gap, int seconds)
    {
        AttemptProgress progress;
        progress.attempt = grant.attempt;
        progress.shard = grant.shard;
        progress.upstream = grant.upstream;
        progress.firstToken = firstToken;
        progress.tokens = 1;
        system_.attemptProgressed(ingress_, progress, clock_.now());
        for (int second = 0; second < seconds; ++second) {
            run(std::chrono::seconds(1));
            progress.tokens += static_cast<std::uint32_t>(std::chrono::seconds(1) / gap);
            system_.attemptProgressed(ingress_, progress, clock_.now());
        }
    }

    /** Completes one attempt of the class after the given seat time, so that its seat time is known. */
    void teachSeatTime(const std::string &requestClass, Duration held)
    {
        ask(1000 + taught_++, requestClass);
        const SlotGrant grant = sent<SlotGrant>().back();
        clock_.advance(held);
        end(grant, AttemptEnding::Completed);
        commands_.clear();
    }

    std::uint64_t taught_ = 0;
};

TEST_F(SchedulingPolicyTest, PausesTheLowestTierWithTheLeastWorkToLose)
{
    useCatalog(2, 2);
    teachSeatTime("letter", std::chrono::seconds(60));
    ask(1, "sort");
    for (std::uint64_t number = 2; number <= 4; ++number) {
        SlotRequest letter = requestOf(number, "letter");
        letter.promptTokens = static_cast<std::uint32_t>(number * 1000);
        system_.slotRequested(ingress_, letter, clock_.now(), commands_);
    }
    ask(5, "live");
    run(std::chrono::seconds(1));
    ASSERT_EQ(sent<AttemptPause>().size(), 1U);
    EXPECT_EQ(sent<AttemptPause>().front().request, RequestId(9, 2));
    EXPECT_EQ(decisions("pause"), 1U);
    for (const SlotGrant &grant : sent<SlotGrant>()) {
        if (grant.request == RequestId(9, 2)) {
            end(grant, AttemptEnding::Paused);
        }
    }
    EXPECT_EQ(sent<SlotGrant>().back().request, RequestId(9, 5));
}

TEST_F(SchedulingPolicyTest, LongWorkLeavesHeadroomToBusyHigherTiers)
{
    useCatalog(2, 8);
    teachSeatTime("letter", std::chrono::seconds(60));
    for (std::uint64_t number = 1; number <= 40; ++number) {
        ask(number, "live");
        clock_.advance(std::chrono::seconds(1));
        end(sent<SlotGrant>().back(), AttemptEnding::Completed);
    }
    commands_.clear();
    for (std::uint64_t number = 100; number < 130; ++number) {
        ask(number, "letter");
    }
    EXPECT_GE(sent<SlotGrant>().size(), 8U);
    EXPECT_LT(sent<SlotGrant>().size(), 16U);
    // Nobody asks for the higher tier any more, so that its seats are given away in the end.
    run(std::chrono::seconds(60));
    for (std::uint64_t number = 200; number < 210; ++number) {
        ask(number, "letter");
    }
    EXPECT_EQ(sent<SlotGrant>().size(), 16U);
}

TEST_F(SchedulingPolicyTest, NeverPausesForTheSameOrALowerTier)
{
    useCatalog(1, 2);
    teachSeatTime("letter", std::chrono::seconds(60));
    ask(1, "letter");
    ask(2, "live");
    ask(3, "letter");
    run(std::chrono::seconds(20));
    EXPECT_TRUE(sent<AttemptPause>().empty());
}

TEST_F(SchedulingPolicyTest, TheGuaranteeServesTheLowestTierUnderPressure)
{
    useCatalog(1, 1);
    ask(1, "live");
    ask(2, "letter");
    std::size_t letterServedAfter = 0;
    for (std::uint64_t number = 3; number < 103 && letterServedAfter == 0; ++number) {
        ask(number, "live");
        end(sent<SlotGrant>().back(), AttemptEnding::Completed);
        letterServedAfter = sent<SlotGrant>().back().request == RequestId(9, 2) ? number : 0;
    }
    EXPECT_GT(letterServedAfter, 0U);
    EXPECT_LE(letterServedAfter, 55U);
}

TEST_F(SchedulingPolicyTest, RefusesAtOnceWhatCannotBeServedInTime)
{
    useCatalog(1, 1);
    teachSeatTime("sort", std::chrono::seconds(10));
    for (std::uint64_t number = 1; number <= 6; ++number) {
        ask(number, "sort");
    }
    // With 10 s a seat and a deadline of 30 s, those with more than three ahead of them come too late.
    ASSERT_FALSE(sent<SlotRefusal>().empty());
    EXPECT_EQ(sent<SlotRefusal>().back().request, RequestId(9, 6));
    EXPECT_EQ(sent<SlotRefusal>().back().code, ResultCode::Shed);
    const std::size_t before = sent<SlotRefusal>().size();
    ask(7, "live");
    run(std::chrono::milliseconds(100));
    for (const SlotRefusal &refusal : sent<SlotRefusal>()) {
        EXPECT_NE(refusal.request, RequestId(9, 7));
    }
    EXPECT_GE(sent<SlotRefusal>().size(), before);
}

TEST_F(SchedulingPolicyTest, PausesLowerTiersBeforeItRefusesAHigherOne)
{
    useCatalog(1, 4);
    teachSeatTime("live", std::chrono::seconds(30));
    teachSeatTime("letter", std::chrono::seconds(60));
    for (std::uint64_t number = 1; number <= 4; ++number) {
        ask(number, number <= 2 ? "letter" : "live");
    }
    std::uint64_t number = 100;
    while (sent<SlotRefusal>().empty() && number < 200) {
        ask(number++, "live");
        clock_.advance(std::chrono::milliseconds(1));
    }
    EXPECT_FALSE(sent<SlotRefusal>().empty());
    EXPECT_EQ(sent<AttemptPause>().size(), 2U);
}

TEST_F(SchedulingPolicyTest, AnOverloadedHigherTierDoesNotStarveTheLowest)
{
    useCatalog(1, 4);
    teachSeatTime("letter", std::chrono::milliseconds(40));
    constexpr std::uint64_t FirstLetter = 100000;
    std::deque<SlotGrant> running;
    std::size_t letters = 0;
    // Every 10 ms one seat becomes free, and two requests of the highest tier and one of the lowest arrive.
    for (std::uint64_t round = 0; round < 3000; ++round) {
        ask(2 * round, "live");
        ask(2 * round + 1, "live");
        ask(FirstLetter + round, "letter");
        run(std::chrono::milliseconds(10));
        if (!running.empty()) {
            end(running.front(), AttemptEnding::Completed);
            running.pop_front();
        }
        for (const SlotGrant &grant : sent<SlotGrant>()) {
            letters += grant.request.sequence() >= FirstLetter ? 1 : 0;
            running.push_back(grant);
        }
        commands_.clear();
    }
    // The guarantee is 2% of the 3000 grants.
    EXPECT_GE(letters, 50U);
    EXPECT_LE(letters, 120U);
}

TEST_F(SchedulingPolicyTest, AFullQueueDropsTheNewestOfTheLowestTier)
{
    useCatalog(1, 1);
    ask(1, "live");
    for (std::uint64_t number = 2; number <= 10001; ++number) {
        ask(number, "letter");
    }
    EXPECT_TRUE(sent<SlotRefusal>().empty());
    ask(20000, "live");
    ASSERT_EQ(sent<SlotRefusal>().size(), 1U);
    EXPECT_EQ(sent<SlotRefusal>().front().request, RequestId(9, 10001));
    EXPECT_EQ(sent<SlotRefusal>().front().code, ResultCode::QueueFull);
    ask(20001, "letter");
    EXPECT_EQ(sent<SlotRefusal>().back().request, RequestId(9, 20001));
}

TEST_F(SchedulingPolicyTest, ChoosesTheUpstreamThatHasThePrefix)
{
    useCatalog(4, 8);
    ask(1, "live");
    stream(sent<SlotGrant>().back(), std::chrono::milliseconds(100), std::chrono::milliseconds(20), 1);
    SlotRequest request = requestOf(2, "live");
    request.promptTokens = 4000;
    request.prefixHashes = { 11, 12, 13 };
    for (std::uint64_t index = 0; index < request.prefixHashes.size(); ++index) {
        system_.cacheChanged(CacheEvent { UpstreamName("u3"), index + 1, request.prefixHashes[index], true },
                             clock_.now());
    }
    SlotRequest first = requestOf(3, "live");
    first.promptTokens = 1000;
    system_.slotRequested(ingress_, first, clock_.now(), commands_);
    stream(sent<SlotGrant>().back(), std::chrono::milliseconds(100), std::chrono::milliseconds(20), 1);
    system_.slotRequested(ingress_, request, clock_.now(), commands_);
    EXPECT_EQ(sent<SlotGrant>().back().upstream, UpstreamName("u3"));
}

TEST_F(SchedulingPolicyTest, EjectsAStraggler)
{
    useCatalog(8, 8);
    for (std::uint64_t number = 1; number <= 40; ++number) {
        ask(number, "sort");
    }
    for (const SlotGrant &grant : sent<SlotGrant>()) {
        const bool slow = grant.upstream == UpstreamName("u5");
        stream(grant, std::chrono::milliseconds(100), std::chrono::milliseconds(slow ? 100 : 10), 2);
    }
    run(std::chrono::seconds(1));
    EXPECT_GE(decisions("eject"), 1U);
    commands_.clear();
    for (std::uint64_t number = 50; number <= 60; ++number) {
        ask(number, "live");
        EXPECT_NE(sent<SlotGrant>().back().upstream, UpstreamName("u5"));
    }
}

TEST_F(SchedulingPolicyTest, NeverEjectsMoreThanHalfOfAShard)
{
    useCatalog(5, 8);
    for (std::uint64_t number = 1; number <= 40; ++number) {
        ask(number, "sort");
    }
    for (const SlotGrant &grant : sent<SlotGrant>()) {
        const int milliseconds = grant.upstream < UpstreamName("u3") ? 10 : 100;
        stream(grant, std::chrono::milliseconds(100), std::chrono::milliseconds(milliseconds), 2);
    }
    EXPECT_EQ(decisions("eject"), 2U);
    for (const SlotGrant &grant : sent<SlotGrant>()) {
        const int milliseconds = grant.upstream < UpstreamName("u1") ? 1 : 500;
        stream(grant, std::chrono::milliseconds(100), std::chrono::milliseconds(milliseconds), 2);
    }
    EXPECT_LE(decisions("eject") - decisions("readmit"), 2U);
}

TEST_F(SchedulingPolicyTest, AnUpstreamThatRefusesGetsOneAttemptAtATime)
{
    useCatalog(2, 4);
    std::uint64_t number = 0;
    ask(++number, "live");
    const UpstreamName broken = sent<SlotGrant>().back().upstream;
    end(sent<SlotGrant>().back(), AttemptEnding::Refused);
    commands_.clear();
    ask(++number, "live");
    ask(++number, "live");
    for (const SlotGrant &grant : sent<SlotGrant>()) {
        EXPECT_NE(grant.upstream, broken);
    }
    run(std::chrono::seconds(2));
    for (int index = 0; index < 10; ++index) {
        ask(++number, "live");
    }
    EXPECT_EQ(system_.inFlightAt(broken), 1U);
}

TEST_F(SchedulingPolicyTest, RetriesAreLimitedToTheirBudget)
{
    useCatalog(2, 4);
    std::size_t refused = 0;
    for (std::uint64_t number = 1; number <= 40; ++number) {
        SlotRequest retry = requestOf(number, "live");
        retry.retry = true;
        system_.slotRequested(ingress_, retry, clock_.now(), commands_);
    }
    for (const SlotRefusal &refusal : sent<SlotRefusal>()) {
        refused += refusal.code == ResultCode::Shed ? 1 : 0;
    }
    // Twice four seats may be retried at once, and each further retry needs ten requests.
    EXPECT_GE(refused, 40U - 8U - 4U);
}

TEST_F(SchedulingPolicyTest, ALaggingReportDoesNotHideSeatsThatWereJustFreed)
{
    useCatalog(1, 2);
    ask(1, "live");
    ask(2, "live");
    end(sent<SlotGrant>().front(), AttemptEnding::Completed);
    LoadReport report;
    report.upstream = UpstreamName("u0");
    report.running = 2;
    system_.loadReported(report, clock_.now());
    ask(3, "live");
    EXPECT_EQ(sent<SlotGrant>().size(), 3U);
}

TEST_F(SchedulingPolicyTest, ForeignRequestsInAReportTakeSeats)
{
    useCatalog(1, 2);
    LoadReport report;
    report.upstream = UpstreamName("u0");
    report.running = 2;
    system_.loadReported(report, clock_.now());
    ask(1, "live");
    EXPECT_TRUE(sent<SlotGrant>().empty());
    report.running = 1;
    system_.loadReported(report, clock_.now());
    run(std::chrono::milliseconds(5));
    EXPECT_EQ(sent<SlotGrant>().size(), 1U);
}

} // namespace
} // namespace GeraniumLever
