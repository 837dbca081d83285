/** What upstreams have stated about themselves in their responses. */
#pragma once

#include <map>

#include "servers/routing/upstream_directory.h"

namespace GeraniumLever {

/** Longest pause that is honoured. */
constexpr Duration MaxPause = std::chrono::hours(24);

/** Applies to one incarnation of an upstream, whatever the registry says about it before or afterwards. */
class UpstreamNotices
{
public:
    /** The upstream shuts down and must get no new requests from this node. Returns false if this is known. */
    bool noteLeaving(const UpstreamIdentity &upstream, TimePoint now);

    /** The upstream wants no requests from this node for this long; more than MaxPause counts as MaxPause. */
    void notePause(const UpstreamIdentity &upstream, Duration pause, TimePoint now);

    bool isLeaving(const UpstreamEntry &entry) const;

    /** End of the pause that the upstream asked for last; default-constructed if it asked for none. */
    TimePoint pausedUntil(const UpstreamEntry &entry) const;

    /** True if the upstream may get new requests, apart from pauses, according to its registration and to what it
     *  stated. */
    bool acceptsRequests(const UpstreamEntry &entry) const { return !entry.leaving && !isLeaving(entry); }

    /** Forgets upstreams that have not been registered for a long time. */
    void update(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now);

    /** Number of upstreams that are remembered. */
    std::size_t size() const { return notices_.size(); }

private:
    struct Notice
    {
        UpstreamIdentity upstream;
        bool isLeaving = false;
        TimePoint pausedUntil;
        /** When the notice arrived or the upstream was last registered. */
        TimePoint lastKnownAt;
    };

    const Notice *find(const UpstreamEntry &entry) const;
    Notice &noticeOf(const UpstreamIdentity &upstream);

    /** An address seldom changes hands, so one name seldom has several notices. */
    std::multimap<UpstreamName, Notice> notices_;
};

} // namespace GeraniumLever
