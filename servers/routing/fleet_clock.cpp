#include "servers/routing/fleet_clock.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

namespace {

/** Clocks that run at slightly different rates drift apart by far less than a datagram's delay in this time. */
constexpr Duration Period = std::chrono::minutes(1);
/** An answer that seems to have been under way for longer comes from a clock that was set. */
constexpr Duration MaxDelay = std::chrono::seconds(30);

} // namespace

void FleetClock::note(Duration storeClock, TimePoint now)
{
    const Duration sample = storeClock - now.time_since_epoch();
    const std::optional<Duration> known = offset();
    if (known.has_value() && *known - sample > MaxDelay) {
        current_.reset();
        previous_.reset();
    }
    if (now >= periodEnd_) {
        previous_ = std::exchange(current_, std::nullopt);
        periodEnd_ = now + Period;
    }
    current_ = std::max(current_, std::optional<Duration>(sample));
}

std::optional<FleetTime> FleetClock::fleetTime(TimePoint time) const
{
    const std::optional<Duration> known = offset();
    return known.has_value() ? std::optional<FleetTime>(time.time_since_epoch() + *known) : std::nullopt;
}

std::optional<TimePoint> FleetClock::localTime(FleetTime time) const
{
    const std::optional<Duration> known = offset();
    return known.has_value() ? std::optional<TimePoint>(time.time_since_epoch() - *known) : std::nullopt;
}

std::optional<Duration> FleetClock::offset() const
{
    return std::max(current_, previous_);
}

} // namespace GeraniumLever
