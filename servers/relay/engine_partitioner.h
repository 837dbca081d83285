/** Division of a pool's engines between requests that bear long pauses and those that do not. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "servers/relay/relay_messages.h"
#include "servers/relay/work_reports.h"
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
 *  the work that is sent to engines. What waits or is refused does not count: so a rush that the engines cannot bear
 *  takes none from the requests that bear no pauses. All nodes order the engines alike and know the work of all, so
 * that they need not agree. */
class EngineSharing
{
public:
    /** Notes a request that was sent. pauseTarget: of its route. */
    void noteSent(Duration pauseTarget, const PromptInfo &prompt, std::uint32_t unreadTokens, TimePoint now);

    /** Takes the work that all other nodes have sent lately. */
    void learnOthers(const std::vector<PauseDemand> &others, TimePoint now);

    /** Adds the work that this node has sent lately. */
    void addDemands(std::vector<PauseDemand> &demands, TimePoint now) const;

    /** True if requests with this target have engines of their own, since others bear only much shorter pauses. */
    bool bearsLongPauses(Duration pauseTarget, TimePoint now);

    /** The part of the given engines that a request with this target should go to; all of them while every request
     *  bears about the same. */
    EnginePart enginesFor(const PoolName &pool, Duration pauseTarget, std::vector<UpstreamName> engines, TimePoint now);

private:
    /** Work that decays with time. */
    struct Demand
    {
        double work = 0.0;
        TimePoint updatedAt;

        double at(TimePoint now) const;
    };

    /** Work of all nodes by pause, without what is too little to count. */
    std::map<Duration, double> demandsAt(TimePoint now);

    std::map<Duration, Demand> own_;
    std::map<Duration, Demand> others_;
    /** Engines of the requests that bear longer pauses in the last division; kept while the demand is near it. */
    std::size_t looseEngines_ = 0;
};

/** The longest pause that a request of the route should meet. */
Duration pauseTargetOf(const Route &route);

} // namespace GeraniumLever
