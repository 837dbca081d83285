/** What upstreams have stated about themselves in their responses. */
#pragma once

#include <map>

#include "servers/routing/upstream_directory.h"

namespace GeraniumLever {

/** Applies to one incarnation of an upstream, whatever the registry says about it before or afterwards. */
class UpstreamNotices
{
public:
    /** The upstream shuts down and must get no new requests from this node. */
    void noteLeaving(const UpstreamIdentity &upstream, TimePoint now);

    bool isLeaving(const UpstreamIdentity &upstream) const;

    /** True if the upstream may get new requests, according to its registration and to what it stated. */
    bool acceptsRequests(const UpstreamEntry &entry) const { return !entry.leaving && !isLeaving(entry.identity()); }

    /** Forgets upstreams that have not been registered for a long time. */
    void update(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint now);

    std::size_t size() const { return notices_.size(); }

private:
    struct Notice
    {
        bool isLeaving = false;
        /** When the notice arrived or the upstream was last registered. */
        TimePoint lastKnownAt;
    };

    std::map<UpstreamIdentity, Notice> notices_;
};

} // namespace GeraniumLever
