#include "servers/relay/retry_after_estimator.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration MaxRetryAfter = std::chrono::seconds(5);
/** A caller that is told to wait for more than a third of its remaining time will hardly be served afterwards. */
constexpr double MaxShareOfTimeLeft = 0.3;
/** Relative jitter around the expected time. */
constexpr double Jitter = 0.4;
/** The newest interval has a weight of one in this many. */
constexpr int IntervalWeight = 8;
constexpr Duration MaxInterval = std::chrono::milliseconds(500);

Duration longestFor(Duration timeLeft)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(timeLeft.count()) * MaxShareOfTimeLeft));
}

} // namespace

void RetryAfterEstimator::noteServed(TimePoint waitedSince, TimePoint now)
{
    const Duration interval = std::min(now - std::max(lastServedAt_, waitedSince), MaxInterval);
    serveInterval_ += (interval - serveInterval_) / IntervalWeight;
    lastServedAt_ = now;
}

Duration RetryAfterEstimator::expectedWait(std::size_t ahead) const
{
    return serveInterval_ * static_cast<Duration::rep>(ahead + 1);
}

Duration RetryAfterEstimator::retryAfter(std::size_t ahead, Duration timeLeft)
{
    const Duration bounded = std::clamp(expectedWait(ahead) + MinRetryAfter * 2, MinRetryAfter, MaxRetryAfter);
    const Duration jittered = random_.jittered(bounded, Jitter);
    return std::max(MinRetryAfter, std::min(jittered, longestFor(timeLeft)));
}

Duration RetryAfterEstimator::spread(Duration timeLeft)
{
    const Duration longest = std::clamp(longestFor(timeLeft), MinRetryAfter, MaxRetryAfter);
    const std::chrono::duration<double, Duration::period> drawn = (longest - MinRetryAfter) * random_.fraction();
    return MinRetryAfter + std::chrono::duration_cast<Duration>(drawn);
}

} // namespace GeraniumLever
