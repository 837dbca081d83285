/** Monotonic time. The logic reads time only through Clock, so that tests pause and advance it. */
#pragma once

#include <chrono>

namespace GeraniumLever {

/** All durations are whole microseconds. */
using Duration = std::chrono::microseconds;

/** Tag of the monotonic time line; its epoch has no meaning outside the process. */
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

/** The operating system's clock that also counts the time for which the machine was suspended. Ages of knowledge that
 *  others rely on are measured on it. */
class BootClock : public Clock
{
public:
    TimePoint now() const override;
};

/** A clock that moves only when told to, for tests, scenarios and the policy bench. */
class SteppedClock : public Clock
{
public:
    TimePoint now() const override;

    /** Moves the clock forward by the given, non-negative step. */
    void advance(Duration step);

private:
    /** Starts above zero, since a default TimePoint stands for "never" in some tables. */
    TimePoint now_ { std::chrono::seconds(1) };
};

/** Whole milliseconds, rounded down, for log lines and headers. */
inline long long toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace GeraniumLever
