#include "servers/relay/request_slots.h"

#include <algorithm>
#include <cmath>

namespace GeraniumLever {

std::int64_t RequestSlots::lastBegun(FleetTime time) const
{
    return static_cast<std::int64_t>(
        std::floor(std::chrono::duration<double>(time.time_since_epoch()).count() * rate_));
}

std::int64_t RequestSlots::firstUsable(FleetTime time, std::int64_t used) const
{
    const std::int64_t lapsed = lastBegun(time - Lifetime);
    const bool isClockSetBack = used > lastBegun(time + Lifetime);
    const std::int64_t first = (isClockSetBack ? lapsed : std::max(used, lapsed)) + 1;
    const std::int64_t behind = ((first - position_) % nodes_ + nodes_) % nodes_;
    return behind == 0 ? first : first + nodes_ - behind;
}

std::size_t RequestSlots::countBegun(std::int64_t first, FleetTime time) const
{
    const std::int64_t last = lastBegun(time);
    return last < first ? 0 : static_cast<std::size_t>((last - first) / nodes_ + 1);
}

FleetTime RequestSlots::endOf(std::int64_t slot) const
{
    const std::chrono::duration<double> begin(static_cast<double>(slot) / rate_);
    return FleetTime(std::chrono::duration_cast<Duration>(begin)) + Lifetime;
}

} // namespace GeraniumLever
