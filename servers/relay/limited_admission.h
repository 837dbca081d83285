/** Order of service where all upstreams of a pool limit their requests. */
#pragma once

#include <cstdint>
#include <map>

#include "servers/relay/upstream_limits.h"

namespace GeraniumLever {

/**
 * Decides which request may use a permit. Permits are too few and too short-lived for a queue: most requests find none
 * and are refused, and a permit would go to whichever request arrives next. So a request leaves the permits to the more
 * urgent tiers, and to the teams of its own tier that were served less, as far as their requests are expected to arrive
 * before the permits lapse.
 */
class LimitedAdmission
{
public:
    /** A request has arrived. */
    void noteRequest(std::uint32_t tier, const TeamName &team, TimePoint now);

    /** A request was sent under a limit. */
    void noteServed(std::uint32_t tier, const TeamName &team, TimePoint now);

    /** True if enough permits remain for the requests that are expected to come first. */
    bool admits(std::uint32_t tier, const TeamName &team, const RequestPermits &permits, TimePoint now) const;

    /** Forgets teams without recent requests. */
    void expire(TimePoint now);

    std::size_t teams() const { return usages_.size(); }

private:
    /** Number of events, which decays with time. */
    struct Count
    {
        double events = 0.0;
        TimePoint updatedAt;

        double at(TimePoint now) const;
        void add(TimePoint now);
    };

    struct Usage
    {
        Count arrived;
        Count served;
    };

    std::map<std::pair<std::uint32_t, TeamName>, Usage> usages_;
};

} // namespace GeraniumLever
