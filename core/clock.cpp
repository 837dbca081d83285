#include "core/clock.h"

namespace GeraniumLever {

TimePoint SteadyClock::now() const
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

TimePoint SteppedClock::now() const
{
    return now_;
}

void SteppedClock::advance(Duration step)
{
    now_ += step;
}

} // namespace GeraniumLever
