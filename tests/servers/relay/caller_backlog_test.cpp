/** Tests with callers that leave so much unread that the reading of their upstreams is paused. */
#include <algorithm>

#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

class CallerBacklogTest : public RelayFixture
{
protected:
    CallerBacklogTest()
    {
        upstreams_.push_back(upstreamOf("e3", "engines", 4));
        configuration_.routes[1].maxAttempts = 3;
        configure();
        stream_ = arrive("/live/1");
        answer(stream_);
        first_ = dispatches(stream_).back().attempt;
    }

    void setBacklogged(bool backlogged) { system_.callerBacklogged(stream_, backlogged, clock_.now(), commands_); }

    /** Nothing arrives from any upstream. */
    void pass(Duration duration)
    {
        constexpr Duration TickPeriod = milliseconds(25);
        for (Duration passed(0); passed < duration; passed += TickPeriod) {
            advance(TickPeriod);
            tick();
        }
    }

    /** The upstream falls silent until another one is to take the stream over. */
    void startTakeover()
    {
        pass(milliseconds(800));
        ASSERT_EQ(dispatches(stream_).size(), 2U);
        next_ = dispatches(stream_).back().attempt;
        ASSERT_FALSE(cancelled(first_));
    }

    /** True if the attempt's response is read, as far as the commands say. */
    bool isRead(const AttemptId &attempt) const
    {
        bool read = false;
        for (const RelayCommand &command : commands_) {
            if (const auto *dispatch = std::get_if<RelayDispatch>(&command); dispatch && dispatch->attempt == attempt) {
                read = !dispatch->readPaused;
            }
            if (const auto *set = std::get_if<RelaySetReading>(&command); set && set->attempt == attempt) {
                read = set->enabled;
            }
        }
        return read;
    }

    RequestId stream_;
    AttemptId first_;
    AttemptId next_;
};

TEST_F(CallerBacklogTest, SilentAttemptIsReadAgainWhenItsReplacementWasTurnedAway)
{
    startTakeover();
    setBacklogged(true);
    EXPECT_FALSE(isRead(first_));
    EXPECT_FALSE(isRead(next_));
    answerNotRun(stream_);
    EXPECT_FALSE(isRead(first_));
    setBacklogged(false);
    EXPECT_TRUE(isRead(first_));
    EXPECT_FALSE(broken(stream_));
}

TEST_F(CallerBacklogTest, BothAttemptsOfATakeoverAreReadAgain)
{
    startTakeover();
    setBacklogged(true);
    setBacklogged(false);
    EXPECT_TRUE(isRead(first_));
    EXPECT_TRUE(isRead(next_));
}

TEST_F(CallerBacklogTest, RetryIsNotReadBeforeItsCallerHasCaughtUp)
{
    setBacklogged(true);
    fail(stream_);
    ASSERT_EQ(dispatches(stream_).size(), 2U);
    next_ = dispatches(stream_).back().attempt;
    EXPECT_FALSE(isRead(next_));
    setBacklogged(false);
    EXPECT_TRUE(isRead(next_));
}

TEST_F(CallerBacklogTest, RetryIsReadIfItsCallerHasCaughtUp)
{
    setBacklogged(true);
    setBacklogged(false);
    fail(stream_);
    ASSERT_EQ(dispatches(stream_).size(), 2U);
    EXPECT_TRUE(isRead(dispatches(stream_).back().attempt));
}

TEST_F(CallerBacklogTest, UpstreamIsNotTakenForSilentWhileItsCallerDoesNotRead)
{
    setBacklogged(true);
    pass(std::chrono::seconds(4));
    EXPECT_EQ(dispatches(stream_).size(), 1U);
    EXPECT_TRUE(lastDecision("silence").empty());
}

TEST_F(CallerBacklogTest, UpstreamOfACallerThatDoesNotReadStillGetsRequests)
{
    setBacklogged(true);
    pass(milliseconds(900));
    std::set<UpstreamName> used;
    for (int number = 0; number < 6; ++number) {
        used.insert(dispatches(arrive("/live/1")).front().upstream);
    }
    EXPECT_EQ(used.count(dispatches(stream_).front().upstream), 1U);
}

TEST_F(CallerBacklogTest, SilenceCountsFromWhenReadingGoesOn)
{
    setBacklogged(true);
    pass(std::chrono::seconds(4));
    setBacklogged(false);
    pass(milliseconds(775));
    EXPECT_EQ(dispatches(stream_).size(), 1U);
    pass(milliseconds(25));
    EXPECT_EQ(dispatches(stream_).size(), 2U);
}

TEST_F(CallerBacklogTest, TakeoverDoesNotRunOutWhileItsAttemptsAreNotRead)
{
    startTakeover();
    setBacklogged(true);
    pass(milliseconds(1000));
    EXPECT_FALSE(cancelled(first_));
    setBacklogged(false);
    pass(milliseconds(225));
    EXPECT_FALSE(cancelled(first_));
    pass(milliseconds(25));
    EXPECT_TRUE(cancelled(first_));
    EXPECT_FALSE(cancelled(next_));
}

TEST_F(CallerBacklogTest, AttemptThatATakeoverReturnsToIsNotTakenForSilentWhileItIsNotRead)
{
    startTakeover();
    setBacklogged(true);
    const std::size_t commandsBefore = commands_.size();
    answerNotRun(stream_);
    pass(std::chrono::seconds(2));
    EXPECT_FALSE(cancelled(first_));
    const auto isSilence = [](const RelayCommand &command) {
        const auto *decision = std::get_if<Decision>(&command);
        return decision != nullptr && decision->kind == "silence";
    };
    EXPECT_EQ(
        std::count_if(commands_.begin() + static_cast<std::ptrdiff_t>(commandsBefore), commands_.end(), isSilence), 0);
}

TEST_F(CallerBacklogTest, StreamThatItsCallerDoesNotReadEndsAtItsDeadline)
{
    setBacklogged(true);
    pass(milliseconds(9975));
    EXPECT_FALSE(broken(stream_));
    pass(milliseconds(25));
    EXPECT_TRUE(broken(stream_));
    EXPECT_TRUE(cancelled(first_));
    EXPECT_EQ(lastDecision("finish")["reason"], "deadline");
}

} // namespace
} // namespace GeraniumLever
