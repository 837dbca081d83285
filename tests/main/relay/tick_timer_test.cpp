#include "main/relay/tick_timer.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

class SteppedClock : public Clock
{
public:
    TimePoint now() const override { return now_; }
    void advance(Duration duration) { now_ += duration; }

private:
    TimePoint now_;
};

class TickTimerTest : public testing::Test
{
protected:
    /** Runs one handler of the timer, which sees that so much time has passed. */
    void expireAfter(Duration duration)
    {
        clock_.advance(duration);
        context_.restart();
        context_.run_one();
    }

    boost::asio::io_context context_;
    SteppedClock clock_;
    int ticks_ = 0;
    TickTimer timer_ { context_, clock_, [this] { ++ticks_; } };
};

TEST_F(TickTimerTest, TickComesAfterThePeriod)
{
    timer_.start(milliseconds(1));
    timer_.start(milliseconds(1));
    expireAfter(milliseconds(100));
    EXPECT_EQ(ticks_, 1);
    context_.restart();
    EXPECT_EQ(context_.poll(), 0U);
}

TEST_F(TickTimerTest, TickAfterAPauseOfTheProcessIsDeferredOnce)
{
    for (int pause = 1; pause <= 2; ++pause) {
        timer_.start(milliseconds(1));
        expireAfter(milliseconds(1200));
        EXPECT_EQ(ticks_, pause - 1);
        expireAfter(milliseconds(1200));
        EXPECT_EQ(ticks_, pause);
    }
}

} // namespace
} // namespace GeraniumLever
