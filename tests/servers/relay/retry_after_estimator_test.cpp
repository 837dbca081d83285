#include "servers/relay/retry_after_estimator.h"

#include <set>

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(ReturnTimeTest, TheWaitFollowsTheTimeBetweenThoseThatWereServed)
{
    SteppedClock clock;
    ReturnTime times(1);
    EXPECT_EQ(times.expectedWait(10), Duration(0)) << "nothing is known yet";
    for (int count = 0; count < 100; ++count) {
        clock.advance(milliseconds(40));
        times.noteServed(TimePoint(), clock.now());
    }
    EXPECT_NEAR(toMilliseconds(times.expectedWait(0)), 40, 2);
    EXPECT_NEAR(toMilliseconds(times.expectedWait(9)), 400, 20);
}

TEST(ReturnTimeTest, ThePauseInWhichNobodyWaitedDoesNotCount)
{
    SteppedClock clock;
    ReturnTime times(1);
    for (int count = 0; count < 100; ++count) {
        clock.advance(seconds(2));
        times.noteServed(clock.now() - milliseconds(10), clock.now());
    }
    EXPECT_NEAR(toMilliseconds(times.expectedWait(0)), 10, 1);
}

TEST(ReturnTimeTest, CallersReturnAtDifferentTimesAndWithinTheirOwn)
{
    SteppedClock clock;
    ReturnTime times(1);
    for (int count = 0; count < 100; ++count) {
        clock.advance(milliseconds(50));
        times.noteServed(TimePoint(), clock.now());
    }
    std::set<Duration> different;
    for (int count = 0; count < 50; ++count) {
        const Duration after = times.after(20, seconds(10));
        EXPECT_GE(after, milliseconds(100));
        EXPECT_LE(after, seconds(3));
        different.insert(after);
        EXPECT_LE(times.after(20, seconds(1)), milliseconds(300));
    }
    EXPECT_GT(different.size(), 40U);
}

} // namespace
} // namespace GeraniumLever
