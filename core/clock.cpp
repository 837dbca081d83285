#include "core/clock.h"

#include <ctime>

namespace GeraniumLever {

TimePoint SteadyClock::now() const
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

TimePoint BootClock::now() const
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                          + std::chrono::nanoseconds(time.tv_nsec)));
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
