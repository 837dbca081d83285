/** Queue of requests that wait for free capacity in a pool. */
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Fair queue that keeps a burst of one team or class from starving the others: higher tiers first; within a tier, the
 *  team with the least recently received service, and its oldest request first. */
class RelayQueue
{
public:
    void push(std::uint32_t tier, const TeamName &team, const RequestId &request);

    bool erase(std::uint32_t tier, const TeamName &team, const RequestId &request);

    /** The next requests to be served, at most count, in order. */
    std::vector<RequestId> first(std::size_t count) const;

    /** Charges a team for a request that was dispatched. cost: relative size, above 0. */
    void charge(std::uint32_t tier, const TeamName &team, double cost);

    /** Upper bound on the requests that are served before a new one of the tier. */
    std::size_t maxAhead(std::uint32_t tier) const;

    /** Estimated number of requests that are served before a new one of the team: from its own tier, as many of each
     *  other team as of its own. */
    std::size_t estimateAhead(std::uint32_t tier, const TeamName &team) const;

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

private:
    struct TeamQueue
    {
        /** Start-time fair queuing: virtual time at which the team's next request starts. */
        double startTag = 0.0;
        std::vector<RequestId> requests;
    };

    struct TierQueue
    {
        double virtualTime = 0.0;
        std::size_t waiting = 0;
        std::map<TeamName, TeamQueue> teams;
    };

    std::map<std::uint32_t, TierQueue> tiers_;
    std::size_t size_ = 0;
};

} // namespace GeraniumLever
