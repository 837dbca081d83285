/** Common time of all nodes. */
#pragma once

#include <optional>

#include "core/core.h"

namespace GeraniumLever {

/** Clock type of FleetTime. */
struct StoreTime
{
    using duration = Duration;
};

/** Time on the store's clock, which all nodes can tell, also while the store is away. */
using FleetTime = std::chrono::time_point<StoreTime, Duration>;

/** Estimates the store's clock from its answers. Each answer has been under way for an unknown time, so the one that
 *  puts the store's clock furthest ahead is the most exact. */
class FleetClock
{
public:
    /** The store's clock showed this time when it sent an answer that arrived now. */
    void note(Duration storeClock, TimePoint now);

    /** Absent before the first answer. */
    std::optional<FleetTime> fleetTime(TimePoint time) const;
    std::optional<TimePoint> localTime(FleetTime time) const;

private:
    std::optional<Duration> offset() const;

    /** Largest offsets from the local clock, in the current period and in the one before. */
    std::optional<Duration> current_;
    std::optional<Duration> previous_;
    TimePoint periodEnd_;
};

} // namespace GeraniumLever
