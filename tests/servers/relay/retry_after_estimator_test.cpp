#include "servers/relay/retry_after_estimator.h"

#include <set>

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(RetryAfterEstimatorTest, ExpectedWaitFollowsDispatchInterval)
{
    SteppedClock clock;
    RetryAfterEstimator estimator(1);
    EXPECT_EQ(estimator.expectedWait(10), Duration(0)) << "no dispatch has been recorded yet";
    for (int count = 0; count < 100; ++count) {
        clock.advance(milliseconds(40));
        estimator.noteServed(TimePoint(), clock.now());
    }
    EXPECT_NEAR(toMilliseconds(estimator.expectedWait(0)), 40, 2);
    EXPECT_NEAR(toMilliseconds(estimator.expectedWait(9)), 400, 20);
}

TEST(RetryAfterEstimatorTest, IdleTimeDoesNotCount)
{
    SteppedClock clock;
    RetryAfterEstimator estimator(1);
    for (int count = 0; count < 100; ++count) {
        clock.advance(seconds(2));
        estimator.noteServed(clock.now() - milliseconds(10), clock.now());
    }
    EXPECT_NEAR(toMilliseconds(estimator.expectedWait(0)), 10, 1);
}

TEST(RetryAfterEstimatorTest, RetryAfterIsJitteredAndWithinTimeLeft)
{
    SteppedClock clock;
    RetryAfterEstimator estimator(1);
    for (int count = 0; count < 100; ++count) {
        clock.advance(milliseconds(50));
        estimator.noteServed(TimePoint(), clock.now());
    }
    std::set<Duration> distinctTimes;
    for (int count = 0; count < 50; ++count) {
        const Duration retryAfter = estimator.retryAfter(20, seconds(10));
        EXPECT_GE(retryAfter, milliseconds(100));
        EXPECT_LE(retryAfter, seconds(3));
        distinctTimes.insert(retryAfter);
        EXPECT_LE(estimator.retryAfter(20, seconds(1)), milliseconds(300));
    }
    EXPECT_GT(distinctTimes.size(), 40U);
}

} // namespace
} // namespace GeraniumLever
