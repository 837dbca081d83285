#include "servers/relay/engine_sharing.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** A route is loose if its target for pauses is so many times the shortest of its pool. */
constexpr int LooseFactor = 2;
/** Demand forgets half of itself in this time: long enough to even out single requests of one node. */
constexpr double HalfLifeSeconds = 5.0;
/** Engines by which the demand must differ from the last division before it changes. */
constexpr double Hysteresis = 0.7;
/** Weight of the newest request in the mean size of a prompt. */
constexpr double TokenWeight = 0.04;
/** Requests below which a target counts as unused. */
constexpr double FewestRequests = 0.2;
/** Requests of each kind that are assumed before there are any. */
constexpr double AssumedRequests = 2.0;

} // namespace

double EngineSharing::Demand::requestsAt(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - updatedAt).count();
    return requests * std::exp2(-age / HalfLifeSeconds);
}

double EngineSharing::weightOf(Duration pauseTarget, const Demand &demand, TimePoint now)
{
    const double pause = std::max(1.0, static_cast<double>(toMilliseconds(pauseTarget)));
    return (demand.requestsAt(now) + AssumedRequests) * demand.meanTokens / std::sqrt(pause);
}

void EngineSharing::noteRequest(Duration pauseTarget, std::uint32_t promptTokens, TimePoint now)
{
    Demand &demand = demands_[pauseTarget];
    const double tokens = static_cast<double>(promptTokens);
    demand.meanTokens =
        demand.meanTokens == 0.0 ? tokens : demand.meanTokens + (tokens - demand.meanTokens) * TokenWeight;
    demand.requests = demand.requestsAt(now) + 1.0;
    demand.updatedAt = now;
}

EnginePart EngineSharing::enginesFor(const PoolName &pool,
                                     Duration pauseTarget,
                                     std::vector<UpstreamName> engines,
                                     TimePoint now)
{
    std::erase_if(demands_, [now](const auto &entry) { return entry.second.requestsAt(now) < FewestRequests; });
    if (engines.size() < 2 || demands_.empty()) {
        return { std::move(engines), true };
    }
    const Duration looseFrom = demands_.begin()->first * LooseFactor;
    double tight = 0.0;
    double loose = 0.0;
    for (const auto &[target, demand] : demands_) {
        (target >= looseFrom ? loose : tight) += weightOf(target, demand, now);
    }
    if (loose == 0.0) {
        return { std::move(engines), true };
    }
    const std::uint64_t seed = XXH64(pool.text().data(), pool.text().size(), 0);
    std::sort(engines.begin(), engines.end(), [seed](const UpstreamName &left, const UpstreamName &right) {
        const std::uint64_t leftRank = XXH64(left.text().data(), left.text().size(), seed);
        const std::uint64_t rightRank = XXH64(right.text().data(), right.text().size(), seed);
        return leftRank < rightRank;
    });
    const double wanted = static_cast<double>(engines.size()) * loose / (loose + tight);
    if (std::abs(wanted - static_cast<double>(looseEngines_)) > Hysteresis) {
        looseEngines_ = static_cast<std::size_t>(std::lround(wanted));
    }
    const std::size_t count = std::clamp<std::size_t>(looseEngines_, 1, engines.size() - 1);
    const auto border = engines.begin() + static_cast<std::ptrdiff_t>(count);
    if (pauseTarget >= looseFrom) {
        return { std::vector<UpstreamName>(engines.begin(), border), false };
    }
    return { std::vector<UpstreamName>(border, engines.end()), true };
}

Duration pauseTargetOf(const Route &route)
{
    return std::max<Duration>(route.gapTarget.value_or(route.target), std::chrono::milliseconds(1));
}

} // namespace GeraniumLever
