#include "servers/relay/retry_after_estimator.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

constexpr Duration Shortest = std::chrono::milliseconds(100);
constexpr Duration Longest = std::chrono::seconds(5);
/** A caller that is told to wait for more than a third of its time will hardly be served then. */
constexpr double LargestShareOfTimeLeft = 0.3;
/** The times are spread over this factor around the expected one. */
constexpr double Spread = 0.4;
/** Weight of the newest interval is one in so many. */
constexpr int IntervalWeight = 8;
constexpr Duration LongestInterval = std::chrono::milliseconds(500);

} // namespace

void ReturnTime::noteServed(TimePoint waitedSince, TimePoint now)
{
    const Duration interval = std::min(now - std::max(lastServed_, waitedSince), LongestInterval);
    interval_ += (interval - interval_) / IntervalWeight;
    lastServed_ = now;
}

Duration ReturnTime::expectedWait(std::size_t ahead) const
{
    return interval_ * static_cast<Duration::rep>(ahead + 1);
}

Duration ReturnTime::after(std::size_t ahead, Duration timeLeft)
{
    const Duration bounded = std::clamp(expectedWait(ahead) + Shortest * 2, Shortest, Longest);
    const Duration spread = random_.jittered(bounded, Spread);
    const Duration useful =
        Duration(static_cast<Duration::rep>(static_cast<double>(timeLeft.count()) * LargestShareOfTimeLeft));
    return std::max(Shortest, std::min(spread, useful));
}

} // namespace GeraniumLever
