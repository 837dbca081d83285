/** Keeps the requests of all nodes within the limits that upstreams state. */
#pragma once

#include <map>
#include <optional>

#include "servers/relay/fleet_state.h"
#include "servers/relay/limited_admission.h"
#include "servers/relay/relay_placement.h"

namespace GeraniumLever {

/** Learns limits from answers and from other nodes, passes them on, and decides which requests may use this node's
 *  share of them. Commands that it adds are decision records and reports to other nodes. */
class LimitSystem
{
public:
    /** The fleet's state and the placement must outlive the system. */
    LimitSystem(NodeName self, FleetState &fleet, const RelayPlacement &placement)
        : self_(std::move(self)), fleet_(fleet), placement_(placement)
    {
    }

    /** An answer to a request that was sent at sentAt states this limit, or none. */
    void answered(const UpstreamName &upstream,
                  const std::optional<double> &rate,
                  TimePoint sentAt,
                  TimePoint now,
                  RelayCommands &commands);

    /** Handles what another node knows. */
    void reportReceived(const LimitReport &report, TimePoint now, RelayCommands &commands);

    /** What to tell other nodes once a second; absent if there is nothing to tell. */
    std::optional<LimitReport> report(TimePoint now);

    void requestArrived(const RelayRow &row, TimePoint now);

    /** The row's attempt is sent to its upstream. */
    void requestSent(const RelayRow &row, TimePoint now);

    /** False if the permits for a limited pool should be left to other requests. A stream that has begun would be lost,
     *  so it need not leave them to any. */
    bool admits(const RelayRow &row, const PlacementQuery &query, TimePoint now) const;

    /** To be called every few tens of milliseconds. */
    void tick(TimePoint now, RelayCommands &commands);

private:
    /** Tells other nodes what has become known. */
    void share(TimePoint now, RelayCommands &commands);

    NodeName self_;
    FleetState &fleet_;
    const RelayPlacement &placement_;
    std::map<PoolName, LimitedAdmission> admissions_;
    TimePoint nextExpiry_;
};

} // namespace GeraniumLever
