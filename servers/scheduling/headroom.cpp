#include "servers/scheduling/headroom.h"

#include <algorithm>
#include <cmath>

namespace GeraniumLever {

namespace {

/** The headroom covers the higher tiers' mean demand for seats plus this many standard deviations. */
constexpr double HeadroomDeviations = 1.5;

} // namespace

std::uint32_t headroomAbove(const ShardState &state, const ClassRank &rank, TimePoint now)
{
    double mean = 0.0;
    double rate = 0.0;
    for (const auto &[name, requestClass] : state.catalog->classes()) {
        if (requestClass.tier < rank.tier) {
            const double arrivals = state.classes.arrivalRate(name, now);
            rate += arrivals;
            mean += arrivals * state.classes.seatSeconds(name).value_or(0.0);
        }
    }
    // A class whose attempts are no longer than the higher tiers' (weighted by arrivals) frees its seats in time.
    const bool shorter = state.classes.seatSeconds(rank.name).value_or(0.0) * rate <= mean;
    if (mean == 0.0 || shorter) {
        return 0;
    }
    const std::int64_t running = state.running.countAbove(rank.tier);
    // With random (Poisson) arrivals, the variance of the number of seats in use equals its mean.
    const std::int64_t wanted = std::llround(mean + HeadroomDeviations * std::sqrt(mean));
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, wanted - running));
}

} // namespace GeraniumLever
