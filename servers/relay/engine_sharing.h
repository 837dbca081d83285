/** Division of a pool's engines between requests that bear long pauses and those that do not. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "servers/routing/routing.h"

namespace GeraniumLever {

/** Engines for a kind of request. */
struct EnginePart
{
    std::vector<UpstreamName> engines;
    /** True if such requests may go to the other engines when these have no room: they bear the shortest pauses, and do
     *  not hold up the others. */
    bool mayUseOthers = true;
};

/** Answers a rush of long prompts: an engine reads a prompt between the answers of all requests beside it, which then
 *  pause. Requests whose target for pauses is a multiple of the shortest one get engines of their own, in proportion to
 *  their prompt tokens a second divided by the square root of the pause that they bear. All nodes order the engines
 *  alike and see similar requests, so that they need not agree. */
class EngineSharing
{
public:
    /** pauseTarget: of the request's route. */
    void noteRequest(Duration pauseTarget, std::uint32_t promptTokens, TimePoint now);

    /** The part of the given engines that a request with this target should go to; all of them while every request
     *  bears about the same. */
    EnginePart enginesFor(const PoolName &pool, Duration pauseTarget, std::vector<UpstreamName> engines, TimePoint now);

private:
    struct Demand
    {
        /** Number of requests, which decays with time. */
        double requests = 0.0;
        double meanTokens = 0.0;
        TimePoint updatedAt;

        double requestsAt(TimePoint now) const;
    };

    /** What the requests with one target ask for. */
    static double weightOf(Duration pauseTarget, const Demand &demand, TimePoint now);

    std::map<Duration, Demand> demands_;
    /** Engines of the requests that bear longer pauses in the last division; kept while the demand is near it. */
    std::size_t looseEngines_ = 0;
};

/** The longest pause that a request of the route should meet. */
Duration pauseTargetOf(const Route &route);

} // namespace GeraniumLever
