/** Tracks the active configuration of a node and how recently it was confirmed to be the newest one. */
#pragma once

#include <deque>
#include <optional>

#include "servers/routing/route_table.h"
#include "servers/routing/store_eras.h"

namespace GeraniumLever {

/** A configuration as it was read from the store. */
struct StoredConfiguration
{
    SiteConfigurationPtr configuration;
    /** Version of its row in the store. */
    std::uint64_t rowVersion = 0;
    StoreState state;
};

/** Replaces configurations as a whole and never returns to an older one, not even if the store does. A restored store
 *  may lack the newest configurations for a while, and their version numbers may be given out again. Times come from a
 *  clock that keeps running while the machine is suspended. */
class ConfigurationTracker
{
public:
    /** Applies a configuration that was read at some time not before asOf, which is when the read was sent. Returns
     *  true if it is newer than the active one, which it then replaces. eras: must know of the read's state. */
    bool update(const StoredConfiguration &stored, const StoreEras &eras, TimePoint asOf);

    /** Records that the configuration was the newest one at some time not before asOf. Returns false, without effect,
     *  if it is not the active one, or if the store may have lacked newer ones by then. */
    bool confirm(const ConfigurationId &confirmed, const StoreEras &eras, TimePoint asOf);

    /** Confirms the active configuration as of the last read if it is known by now that the store did not lack newer
     *  ones then. */
    void confirmLastRead(const StoreEras &eras);

    /** Route table of the active configuration; nullptr before the first configuration. */
    const RouteTablePtr &table() const { return table_; }

    /** Time since the active configuration was last known to be the newest; absent if it is not known. */
    std::optional<Duration> age(TimePoint now) const;

    /** Version of the active configuration; 0 before the first one. */
    ConfigurationVersion version() const { return id().version; }

    /** Identity of the active configuration; all zero before the first one. */
    ConfigurationId id() const;

    /** Era of the store that last showed the active configuration. */
    std::uint64_t era() const { return era_; }

private:
    /** The read showed the active configuration. */
    void noteShown(const StoredConfiguration &stored, const StoreEras &eras, TimePoint asOf);
    bool isNewer(const StoredConfiguration &stored, const StoreEras &eras, TimePoint asOf) const;
    bool wasReplaced(const ConfigurationId &configuration) const;

    RouteTablePtr table_;
    std::uint64_t era_ = 0;
    std::optional<TimePoint> newestAsOf_;
    /** When the last read was sent that showed the active configuration. */
    TimePoint shownAsOf_;
    /** The configurations that were active before, newest last. */
    std::deque<ConfigurationId> replaced_;
};

} // namespace GeraniumLever
