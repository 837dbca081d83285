/** Software versions that have recently served in each pool. */
#pragma once

#include <map>
#include <set>
#include <string>

#include "servers/routing/upstream_directory.h"

namespace GeraniumLever {

/** Tells whether all streams of a pool must have begun at the same version because no other has been registered. */
class PoolVersions
{
public:
    /** Takes note of the upstreams in a list that was current at some time not before asOf. */
    void update(const Table<UpstreamName, UpstreamEntry> &entries, TimePoint asOf);

    /** The version if only one has been registered in the pool for at least this long, and this is known up to now;
     *  absent otherwise. */
    std::optional<std::string> onlyVersion(const PoolName &pool, Duration duration, TimePoint now) const;

    /** The version if only one was registered in the pool by the newest list, whatever its age; absent otherwise. */
    std::optional<std::string> listedVersion(const PoolName &pool) const;

private:
    struct OnlyVersion
    {
        std::string version;
        TimePoint since;
    };

    std::map<PoolName, OnlyVersion> only_;
    TimePoint listAsOf_;
};

} // namespace GeraniumLever
