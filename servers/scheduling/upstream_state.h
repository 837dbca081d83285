/** Row of a shard's upstream table: everything that determines whether an upstream may get a new attempt. */
#pragma once

#include <map>

#include "servers/scheduling/peak_window.h"

#include "core/core.h"

namespace GeraniumLever {

struct UpstreamState
{
    UpstreamName name;
    /** Number of requests that it may serve at the same time, from the catalog. */
    std::uint32_t seats = 0;
    /** True if the catalog says that the upstream is leaving. */
    bool leavingByCatalog = false;
    /** True if a notice, a load report or the VM list said that the upstream is leaving. */
    bool leavingByNotice = false;
    /** From its last load report. */
    bool ready = true;
    /** True while an order keeps the upstream out of service. */
    bool held = false;

    /** Attempts that hold a seat. */
    std::uint32_t inFlight = 0;
    /** Peak of inFlight over the last seconds, which a lagging load report may still reflect. */
    PeakWindow inFlightPeak;
    /** Estimated prompt tokens that it still has to compute, by tier. */
    std::map<std::uint32_t, std::uint64_t> pendingPrefillTokens;
    /** Running and waiting requests in the last load report. */
    std::uint32_t reported = 0;
    TimePoint reportedAt;
    /** No new attempts before this time or the next load report: a scheduler that has just taken over the shard does
     * not know yet whether the upstream is leaving. */
    TimePoint reportAwaitedUntil;

    /** Attempts that were lost or refused since the last one that completed. */
    std::uint32_t failures = 0;
    /** No new attempts before this time because of failures. */
    TimePoint backoffUntil;
    /** Token gap relative to the shard's median; 1 if it is not slower. */
    double slowness = 1.0;
    /** True if the upstream gets no attempts other than probes because it is too slow. */
    bool ejected = false;
    TimePoint nextProbe;

    /** Prompt tokens that it will compute before those of a new attempt of the tier. Engines honour priorities, so
     * lower tiers are not included. */
    std::uint64_t prefillAheadOf(std::uint32_t tier) const
    {
        std::uint64_t tokens = 0;
        for (const auto &[other, pending] : pendingPrefillTokens) {
            tokens += other <= tier ? pending : 0;
        }
        return tokens;
    }

    /** True if the upstream is ready and neither leaving nor held. Ejection and backoff are not considered. */
    bool isAvailable() const { return !leavingByCatalog && !leavingByNotice && ready && !held; }

    bool operator==(const UpstreamState &) const = default;
};

} // namespace GeraniumLever
