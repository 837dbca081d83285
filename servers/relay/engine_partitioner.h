/** Partitions a pool's engines between requests that tolerate long token gaps and those that do not. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "servers/relay/relay_messages.h"
#include "servers/relay/work_reports.h"
#include "servers/routing/routing.h"

namespace GeraniumLever {

/** Engines for one kind of request. */
struct EnginePartition
{
    std::vector<UpstreamName> engines;
    /** True if these requests may overflow to the other engines when their own have no room. Only requests with the
     *  shortest gap targets may, since they do not stall the others. */
    bool mayOverflow = true;
};

/** Keeps bursts of long prompts from stalling latency-sensitive streams: while an engine prefills a prompt, all other
 *  requests on that engine pause. Requests whose token gap target is a multiple of the shortest one get engines of
 *  their own, in proportion to the work that is sent to engines. Requests that wait or are rejected do not count, so an
 *  overload cannot take engines away from the latency-sensitive requests. All nodes order the engines identically and
 *  know the total work, so they arrive at the same partition without coordination. */
class EnginePartitioner
{
public:
    /** Records a request that was sent. tokenGapTarget: of its route. */
    void noteSent(Duration tokenGapTarget, const PromptInfo &prompt, std::uint32_t unreadTokens, TimePoint now);

    /** Replaces the work that all other nodes have recently sent. */
    void updateOthers(const std::vector<PauseDemand> &others, TimePoint now);

    /** Appends the work that this node has recently sent. */
    void addDemands(std::vector<PauseDemand> &demands, TimePoint now) const;

    /** True if requests with this target have engines of their own because other requests tolerate only much shorter
     *  gaps. */
    bool hasOwnPartition(Duration tokenGapTarget, TimePoint now);

    /** The subset of the given engines that a request with this target should use; all of them while all requests have
     *  similar targets. */
    EnginePartition enginesFor(const PoolName &pool,
                               Duration tokenGapTarget,
                               std::vector<UpstreamName> engines,
                               TimePoint now);

private:
    /** Work that decays exponentially with time. */
    struct Demand
    {
        double work = 0.0;
        TimePoint updatedAt;

        double at(TimePoint now) const;
    };

    /** Work of all nodes by token gap target, without negligible amounts. */
    std::map<Duration, double> demandsAt(TimePoint now);

    std::map<Duration, Demand> own_;
    std::map<Duration, Demand> others_;
    /** Engines assigned to gap-tolerant requests in the last partition; kept while the demand stays close to it. */
    std::size_t tolerantEngines_ = 0;
};

/** The longest token gap that requests of the route should see: the route's gap target, or its latency target if none
 *  is set; at least 1 ms. */
Duration tokenGapTargetOf(const Route &route);

} // namespace GeraniumLever
