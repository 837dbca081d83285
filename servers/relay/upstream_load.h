/** A node's estimate of the load and health of one upstream. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include "servers/relay/relay_messages.h"
#include "servers/relay/work_reports.h"

namespace GeraniumLever {

/** Per-upstream state of the placement: this node's requests there, the load that the upstream last reported, and how
 *  recent attempts ended. */
class UpstreamLoad
{
public:
    /** A request was sent. tokens: prompt plus maximum answer. unreadTokens: prompt tokens to prefill. */
    void begin(std::uint32_t tokens, std::uint32_t unreadTokens, TimePoint now);

    /** This many prompt tokens of a request have been prefilled, or will not be. */
    void noteRead(std::uint32_t unreadTokens);

    /** A request with this many tokens is no longer at the upstream. */
    void end(std::uint32_t tokens);

    void updateReported(const ReportedLoad &load, TimePoint now);

    /** Replaces the total work of all other nodes there. freeSeats: free seats to share among all nodes. draw: uniform
     *  in [0, 1), rounds this node's share up or down at random. */
    void updateOthers(const UpstreamWork &work, double freeSeats, double draw, TimePoint now);

    /** A request of this node starts (true) or stops (false) waiting for the upstream. */
    void noteWaiting(bool waits);

    /** False if this node has used up its share of the free seats. Nodes with more waiting requests get a larger
     *  share. */
    bool mayTakeSeat(TimePoint now) const;

    /** The work of this node there. */
    UpstreamWork ownWork() const;

    /** An attempt was answered. */
    void noteAnswered(TimePoint now);

    /** Records the time between two parts of a response. */
    void noteTokenGap(Duration gap, TimePoint now);

    /** An attempt failed because of the upstream or the connection to it. */
    void noteFailed(TimePoint now);

    /** No connection could be made; the upstream is excluded until a probe succeeds. */
    void noteUnreachable(TimePoint now);

    /** Handles the result of a probe. */
    void noteProbed(bool reached, TimePoint now);

    /** True if a probe is due; marks it as started. */
    bool startProbeIfDue(TimePoint now);

    /** The upstream rejected a request because it had no free capacity. */
    void noteFull(TimePoint now);

    /** Estimated requests at the upstream, from all nodes. */
    double requests(TimePoint now) const;

    /** Estimated prompt and answer tokens there, from all nodes. If the other nodes' tokens are unknown, their requests
     *  are assumed to be as large as this node's. */
    double tokens(TimePoint now) const;

    /** Age of the information about other nodes' requests; absent if there is none. */
    std::optional<Duration> age(TimePoint now) const;

    /** Prompt tokens still to be prefilled there, as far as known. */
    double unreadTokens(TimePoint now) const;

    std::uint32_t ownRequests() const { return ownRequests_; }

    /** Time for which none of this node's requests there has received anything; 0 if it has none there. */
    Duration silence(TimePoint now) const
    {
        return ownRequests_ == 0 ? Duration(0) : now - std::max(lastSignAt_, busySince_);
    }

    /** Something has arrived from there that is not an answer yet. */
    void noteSign(TimePoint now) { lastSignAt_ = now; }

    /** True if something has arrived from there within this time. */
    bool hasResponded(Duration within, TimePoint now) const
    {
        return lastSignAt_ != TimePoint() && now - lastSignAt_ <= within;
    }

    /** True while the upstream is excluded because of recent failures. */
    bool isSuspect(TimePoint now) const { return unreachable_ || now < suspectUntil_; }

    /** Smoothed time between two parts of a response; decays while no parts arrive. */
    Duration tokenGap(TimePoint now) const;

    /** Smoothed share of failed attempts, 0 to 1. */
    double failureShare() const { return failureShare_; }

    /** True for a short time after the upstream reported that it had no free capacity. */
    bool isFull(TimePoint now) const { return now < fullUntil_; }

private:
    /** True while the other nodes' total is recent. */
    bool hasOthersWork(TimePoint now) const;

    std::uint32_t ownRequests_ = 0;
    /** When the first of them was sent. */
    TimePoint busySince_;
    /** When anything last arrived from there. */
    TimePoint lastSignAt_;
    std::uint64_t ownTokens_ = 0;
    std::uint64_t ownUnreadTokens_ = 0;
    std::uint32_t ownWaiting_ = 0;
    /** Seats that this node may still take until the next report; negative if it took more. */
    double availableSeats_ = 0.0;
    UpstreamWork othersWork_;
    TimePoint othersWorkAt_;
    /** Smoothed number of tokens per request. */
    double meanTokens_ = 0.0;
    /** Requests of other nodes according to the upstream's last reported load. */
    double reportedOthers_ = 0.0;
    TimePoint reportedAt_;
    double failureShare_ = 0.0;
    std::uint32_t consecutiveFailures_ = 0;
    double tokenGapSeconds_ = 0.0;
    TimePoint lastTokenGapAt_;
    bool unreachable_ = false;
    bool probing_ = false;
    TimePoint nextProbeAt_;
    Duration probeDelay_ { 0 };
    TimePoint suspectUntil_;
    TimePoint fullUntil_;
};

} // namespace GeraniumLever
