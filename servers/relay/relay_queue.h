/** Requests of one pool that wait for an upstream with room. */
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Answers the load that a rush of one team or class puts on a pool: higher tiers first; in a tier, the team with the
 *  fewest requests served lately relative to the others, and its oldest request first. */
class RelayQueue
{
public:
    void push(std::uint32_t tier, const TeamName &team, const RequestId &request);

    bool erase(std::uint32_t tier, const TeamName &team, const RequestId &request);

    /** The requests that are served next, at most count, in order. */
    std::vector<RequestId> first(std::size_t count) const;

    /** Charges a team for a request that got an upstream. cost: relative size, above 0. */
    void charge(std::uint32_t tier, const TeamName &team, double cost);

    /** Requests that are served before a new one of the tier, at most. */
    std::size_t ahead(std::uint32_t tier) const;

    /** Requests that are served before a new one of the team, about: of its tier, as many of each team as of its own.
     */
    std::size_t aheadOf(std::uint32_t tier, const TeamName &team) const;

    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }

private:
    struct TeamLine
    {
        /** Start-time fair queuing: virtual time at which the team's next request starts. */
        double startTag = 0.0;
        std::vector<RequestId> requests;
    };

    struct TierLine
    {
        double virtualTime = 0.0;
        std::size_t waiting = 0;
        std::map<TeamName, TeamLine> teams;
    };

    std::map<std::uint32_t, TierLine> tiers_;
    std::size_t size_ = 0;
};

} // namespace GeraniumLever
