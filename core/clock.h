/** Monotonic time. The logic reads time only through Clock, so that tests can pause and advance it. */
#pragma once

#include <chrono>

namespace GeraniumLever {

/** All durations are whole microseconds. */
using Duration = std::chrono::microseconds;

/** Clock type of TimePoint; its epoch has no meaning outside the process. */
struct MonotonicTime
{
    using duration = Duration;
    using rep = Duration::rep;
    using period = Duration::period;
    using time_point = std::chrono::time_point<MonotonicTime, Duration>;
    static constexpr bool is_steady = true;
};

using TimePoint = MonotonicTime::time_point;

/** Source of monotonic time. */
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/** The operating system's steady clock. */
class SteadyClock : public Clock
{
public:
    TimePoint now() const override;
};

/** The operating system's clock that includes time during which the machine was suspended. Used for the age of data
 *  that other nodes rely on. */
class BootClock : public Clock
{
public:
    TimePoint now() const override;
};

/** A clock that only advances on request, for tests, scenarios and the policy bench. */
class SteppedClock : public Clock
{
public:
    TimePoint now() const override;

    /** Advances the clock by the given, non-negative step. */
    void advance(Duration step);

private:
    /** Starts above zero because a default TimePoint means "never" in some tables. */
    TimePoint now_ { std::chrono::seconds(1) };
};

/** Whole milliseconds, rounded down, for log lines and headers. */
inline long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace GeraniumLever
