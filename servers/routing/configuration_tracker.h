/** Tracks the active configuration of a node and how recently it was confirmed to be the newest one. */
#pragma once

#include <optional>

#include "servers/routing/route_table.h"

namespace GeraniumLever {

/** Replaces configurations as a whole and never returns to an older version. Times come from a clock that keeps running
 *  while the machine is suspended. */
class ConfigurationTracker
{
public:
    /** Records that the configuration was the newest one at some time not before asOf, which is when the read that
     *  returned it was sent. Returns true if it is newer than the active one, which it then replaces. */
    bool update(const SiteConfigurationPtr &configuration, TimePoint asOf);

    /** Records that the version was the newest one at some time not before asOf. Returns false, without effect, if it
     * is not the active one. */
    bool confirm(ConfigurationVersion version, TimePoint asOf);

    /** Route table of the active configuration; nullptr before the first configuration. */
    const RouteTablePtr &table() const { return table_; }

    /** Time since the active configuration was last known to be the newest; absent before the first one. */
    std::optional<Duration> age(TimePoint now) const;

    /** Version of the active configuration; 0 before the first one. */
    ConfigurationVersion version() const;

private:
    RouteTablePtr table_;
    TimePoint newestAsOf_;
};

} // namespace GeraniumLever
