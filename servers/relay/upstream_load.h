/** What a node believes of the load and health of one upstream. */
#pragma once

#include <cstdint>
#include <optional>

#include "servers/relay/relay_messages.h"
#include "servers/relay/work_reports.h"

namespace GeraniumLever {

/** Entity of the placement: the requests that this node has at an upstream, what the upstream last stated, and how its
 *  attempts ended. */
class UpstreamLoad
{
public:
    /** A request is sent. tokens: prompt and longest answer. unread: prompt tokens that must be read first. */
    void begin(std::uint32_t tokens, std::uint32_t unread);

    /** So many prompt tokens of a request have been read, or will not be. */
    void noteRead(std::uint32_t unread);

    /** A request with so many tokens is no longer there. */
    void end(std::uint32_t tokens);

    void state(const ReportedLoad &load, TimePoint now);

    /** Takes the sum of what all other nodes have there. freeSeats: that are left for all nodes. draw: uniform in
     *  [0, 1). */
    void learnOthers(const UpstreamWork &work, double freeSeats, double draw, TimePoint now);

    /** A request of this node begins to wait for the upstream, or no longer waits. */
    void noteWaiting(bool waits);

    /** False if this node has used its part of the free seats, of which those whose requests wait get more. */
    bool mayTakeSeat(TimePoint now) const;

    /** What this node has there. */
    UpstreamWork ownWork() const;

    /** An attempt was answered. */
    void noteAnswered(TimePoint now);

    /** Another part of an answer arrived so long after the one before it. */
    void noteGap(Duration gap, TimePoint now);

    /** An attempt failed for a reason that lies with the upstream or the way to it. */
    void noteFailed(TimePoint now);

    /** No connection could be made; until a probe succeeds the upstream is passed over. */
    void noteUnreachable(TimePoint now);

    /** A probe has made a connection, or has not. */
    void noteProbed(bool reached, TimePoint now);

    /** True if it is time for a probe, which then counts as begun. */
    bool takeProbe(TimePoint now);

    /** The upstream had no room. */
    void noteFull(TimePoint now);

    /** Requests believed to be at the upstream, from all nodes. */
    double requests(TimePoint now) const;

    /** Prompt and answer tokens there, from all nodes; where the other nodes' are not known, their requests count as
     * large as this node's. */
    double tokens(TimePoint now) const;

    /** How old the knowledge of the other nodes' requests is; absent if there is none. */
    std::optional<Duration> age(TimePoint now) const;

    /** Prompt tokens that are still to be read there, as far as they are known. */
    double unreadTokens(TimePoint now) const;

    std::uint32_t own() const { return own_; }

    /** True while recent failures speak against the upstream. */
    bool suspect(TimePoint now) const { return unreachable_ || now < suspectUntil_; }

    /** Smoothed time between two parts of an answer; falls with time while there are none. */
    Duration gap(TimePoint now) const;

    /** Share of attempts that failed lately, 0 to 1. */
    double failureShare() const { return failureShare_; }

    /** True shortly after the upstream said that it had no room. */
    bool full(TimePoint now) const { return now < fullUntil_; }

private:
    /** True while the other nodes' sum is recent. */
    bool knowsOthers(TimePoint now) const;

    std::uint32_t own_ = 0;
    std::uint64_t ownTokens_ = 0;
    std::uint64_t ownUnread_ = 0;
    std::uint32_t ownWaiting_ = 0;
    /** Seats that this node may take until the next report; negative if it took more. */
    double grant_ = 0.0;
    UpstreamWork known_;
    TimePoint knownAt_;
    /** Smoothed tokens of one request. */
    double meanTokens_ = 0.0;
    /** Requests of other nodes when the upstream last stated its load. */
    double others_ = 0.0;
    TimePoint statedAt_;
    double failureShare_ = 0.0;
    std::uint32_t failuresInRow_ = 0;
    double gapSeconds_ = 0.0;
    TimePoint gapAt_;
    bool unreachable_ = false;
    bool probing_ = false;
    TimePoint nextProbe_;
    Duration probePause_ { 0 };
    TimePoint suspectUntil_;
    TimePoint fullUntil_;
};

} // namespace GeraniumLever
