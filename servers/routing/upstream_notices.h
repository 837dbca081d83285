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
    /** The upstream shuts down and must get no new requests from this node. */
    void noteLeaving(const UpstreamIdentity &upstream, TimePoint now);

    /** The upstream wants no requests from this node for this long; more than MaxPause counts as MaxPause. */
    void notePause(const UpstreamIdentity &upstream, Duration pause, TimePoint now);

    bool isLeaving(const UpstreamIdentity &upstream) const;

    /** End of the pause that the upstream asked for last; default-constructed if it asked for none. */
    TimePoint pausedUntil(const UpstreamIdentity &upstream) const;

    /** True if the upstream may get new requests, apart from pauses, according to its registration and to what it
     *  stated. */
    bool acceptsRequests(const UpstreamEntry &entry) const { return !entry.leaving && !isLeaving(entry.identity()); }

    /** Forgets upstreams that have not been registered for a long time. */
    void update(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now);

    std::size_t size() const { return notices_.size(); }

private:
    struct Notice
    {
        bool isLeaving = false;
        TimePoint pausedUntil;
        /** When the notice arrived or the upstream was last registered. */
        TimePoint lastKnownAt;
    };

    std::map<UpstreamIdentity, Notice> notices_;
};

} // namespace GeraniumLever
