/** Tests with callers that leave so much unread that the reading of their upstreams is paused. */
#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

class CallerBacklogTest : public RelayFixture
{
protected:
    CallerBacklogTest()
    {
        configure();
        stream_ = arrive("/live/1");
        answer(stream_);
        first_ = dispatches(stream_).back().attempt;
    }

    void setBacklogged(bool backlogged) { system_.callerBacklogged(stream_, backlogged, commands_); }

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

} // namespace
} // namespace GeraniumLever
