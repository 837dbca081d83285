/** The configuration that a node uses, and how old its knowledge is. */
#pragma once

#include <optional>

#include "servers/routing/route_table.h"

namespace GeraniumLever {

/** Takes configurations whole and never goes back to an older one. Times are of a clock that counts suspension. */
class ConfigurationKeeper
{
public:
    /** Notes that the configuration was the newest one at some moment not before asOf, the sending of the read that
     *  gave it. Returns true if it is newer than the one in use, which it then replaces. */
    bool learn(const SiteConfigurationPtr &configuration, TimePoint asOf);

    /** Notes that the version was the newest one at some moment not before asOf; true if it is the one in use. */
    bool confirm(ConfigurationVersion version, TimePoint asOf);

    /** The table in use; nullptr before the first configuration. */
    const RouteTablePtr &table() const { return table_; }

    /** How long ago the configuration in use was last known to be the newest; absent before the first one. */
    std::optional<Duration> age(TimePoint now) const;

    /** The version in use; 0 before the first. */
    ConfigurationVersion version() const;

private:
    RouteTablePtr table_;
    TimePoint knownAsOf_;
};

} // namespace GeraniumLever
