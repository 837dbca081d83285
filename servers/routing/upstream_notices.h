/** What upstreams have stated about themselves in their responses. */
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "servers/routing/upstream_directory.h"

namespace GeraniumLever {

/** Longest pause that is honoured. */
constexpr Duration MaxPause = std::chrono::hours(24);

/**
 * Applies to one incarnation of an upstream, whatever the registry says about it before or afterwards.
 *
 * An upstream that has started again may state something before its new incarnation is registered. A statement on a
 * connection that was opened after the upstream had broken off others may be of that kind. It holds for the next
 * incarnations too as far as they are registered soon, for a limited time unless it is repeated.
 */
class UpstreamNotices
{
public:
    /** The upstream shuts down and must get no new requests from this node. Returns false if this is known. */
    bool noteLeaving(const UpstreamIdentity &upstream, TimePoint now);

    /** The upstream wants no requests from this node for this long; more than MaxPause counts as MaxPause. */
    void notePause(const UpstreamIdentity &upstream, Duration pause, TimePoint now);

    /** The statement just noted came on a connection that was opened this long after the upstream had refused or broken
     *  off another. */
    void noteAfterLoss(const UpstreamIdentity &upstream,
                       bool leaving,
                       const std::optional<Duration> &pause,
                       Duration sinceLoss,
                       TimePoint now);

    bool isLeaving(const UpstreamEntry &entry) const;

    /** End of the pause that the upstream asked for last; default-constructed if it asked for none. */
    TimePoint pausedUntil(const UpstreamEntry &entry) const;

    /** True if the upstream may get new requests, apart from pauses, according to its registration and to what it
     *  stated. */
    bool acceptsRequests(const UpstreamEntry &entry) const { return !entry.leaving && !isLeaving(entry); }

    /** Applies statements to incarnations that are registered now, and forgets upstreams that have not been registered
     *  for a long time. Returns the upstreams whose new incarnation statements were carried over to. */
    std::vector<UpstreamName> update(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now);

    /** Number of upstreams that are remembered. */
    std::size_t size() const { return notices_.size(); }

private:
    /** Statements that may come from an incarnation that is not registered yet. */
    struct Unattributed
    {
        bool isLeaving = false;
        TimePoint pausedUntil;
        /** When the last one arrived. */
        TimePoint statedAt;
    };

    struct Notice
    {
        UpstreamIdentity upstream;
        bool isLeaving = false;
        TimePoint pausedUntil;
        /** When the notice arrived or the upstream was last registered. */
        TimePoint lastKnownAt;
        std::optional<Unattributed> unattributed;
        /** End of a leaving that was carried over and has not been stated since. */
        std::optional<TimePoint> carriedUntil;
    };

    const Notice *find(const UpstreamEntry &entry) const;
    Notice &noticeOf(const UpstreamIdentity &upstream);
    void carryOver(const Unattributed &statements, const UpstreamIdentity &next, TimePoint now);

    /** An address seldom changes hands, so one name seldom has several notices. */
    std::multimap<UpstreamName, Notice> notices_;
};

} // namespace GeraniumLever
