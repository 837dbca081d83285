/** Entity of a shard's upstream table: everything that decides whether an upstream may get a new attempt. */
#pragma once

#include <map>

#include "servers/scheduling/peak_window.h"

#include "core/core.h"

namespace GeraniumLever {

struct UpstreamState
{
    UpstreamName name;
    /** Requests that it serves at once, as the catalog says. */
    std::uint32_t seats = 0;
    /** From the catalog. */
    bool leavingByCatalog = false;
    /** From a notice, a report or the VM list. */
    bool leavingByNotice = false;
    /** From its own last report. */
    bool ready = true;
    /** Taken out of service by orders. */
    bool held = false;

    /** Attempts that hold a seat. */
    std::uint32_t inFlight = 0;
    /** The number of attempts that held a seat in the last seconds, which a lagging report may still show. */
    PeakWindow inFlightPeak;
    /** Prompt tokens that it still has to compute by tier, as estimated. */
    std::map<std::uint32_t, std::uint64_t> pendingPrefillTokens;
    /** Requests in the last load report. */
    std::uint32_t reported = 0;
    TimePoint reportedAt;
    /** No new attempt before this, unless it reports sooner: a scheduler that has just taken the shard over does not
     * know yet whether the upstream is leaving. */
    TimePoint reportAwaitedUntil;

    /** Attempts that were lost or refused since the last one that was not. */
    std::uint32_t failures = 0;
    /** No new attempt before this, because of failures. */
    TimePoint backoffUntil;
    /** Times slower than the shard's median. */
    double slowness = 1.0;
    /** Out of service but for probes, because of its slowness. */
    bool ejected = false;
    TimePoint nextProbe;

    /** Prompt tokens that it computes before those of a new attempt of the tier, since engines honour priorities. */
    std::uint64_t prefillAheadOf(std::uint32_t tier) const
    {
        std::uint64_t tokens = 0;
        for (const auto &[other, pending] : pendingPrefillTokens) {
            tokens += other <= tier ? pending : 0;
        }
        return tokens;
    }

    /** True if nothing but its speed and failures keeps it from getting new attempts. */
    bool isAvailable() const { return !leavingByCatalog && !leavingByNotice && ready && !held; }

    bool operator==(const UpstreamState &) const = default;
};

} // namespace GeraniumLever
