/** Selection of the upstream for a relayed request. */
#pragma once

#include <optional>
#include <set>

#include "servers/relay/engine_partitioner.h"
#include "servers/relay/fleet_state.h"
#include "servers/relay/placement_query.h"
#include "servers/relay/upstream_load.h"
#include "servers/routing/routing.h"

namespace GeraniumLever {

/** The selected upstream and the facts behind the selection. */
struct Placement
{
    UpstreamIdentity upstream;
    /** Version of the upstream's software. */
    std::string version;
    /** Estimated number of requests at the upstream. */
    double load = 0.0;
    /** Age of the information about other nodes' requests there; absent if there is none. */
    std::optional<Duration> loadAge;
    /** Estimated number of prompt tokens that the engine must prefill before it can answer. */
    std::uint32_t unreadTokens = 0;
    /** True if the upstream was the first choice for the prompt's shared prefix. */
    bool byPrefix = false;
    /** Limit of the upstream's requests per second, and the time since an answer last stated it; absent if it has none.
     */
    std::optional<double> limit;
    Duration limitAge { 0 };
};

/** Prefix-aware load balancing that withstands bursts. Each shared prompt prefix defines an order of engines by
 *  rendezvous hashing, which is the same at all nodes. A request goes to the first engine in that order that is not
 *  clearly more loaded than the others and can answer in time. If the shared prefix is long, the request may wait for
 *  one of the first engines, which have probably cached it. So a burst on one prefix spreads over only as many engines
 *  as it needs, and since load information is always slightly stale, the nodes do not all pick the engine that looks
 *  idle. Requests without a shared prefix and those of other services go to the least loaded upstream. */
class RelayPlacement
{
public:
    /** fleet: must outlive the placement. */
    RelayPlacement(DataCenterName dataCenter, const FleetState &fleet, std::uint64_t seed)
        : dataCenter_(std::move(dataCenter))
        , peers_(fleet.peers())
        , notices_(fleet.notices())
        , limits_(fleet.limits())
        , versionNotes_(fleet.versionNotes())
        , random_(seed)
    {
    }

    /** Drops the state of upstreams that were removed or restarted. */
    void applyChanges(const UpstreamDirectory &directory, const DirectoryChanges &changes);

    /** True if an upstream may serve the request, now or once it has free capacity. */
    bool hasUpstream(const UpstreamDirectory &directory, const PlacementQuery &query) const;

    /** The earliest end of a pause if all upstreams that may serve the request have asked for one; absent otherwise. */
    std::optional<TimePoint> pausedUntil(const UpstreamDirectory &directory,
                                         const PlacementQuery &query,
                                         TimePoint now) const;

    /** Why no upstream will accept the request by some time: all that may serve it have asked for a pause, or limit
     *  their requests. ahead: requests that are sent before it. Absent if one may accept it. */
    std::optional<GiveUpReason> blockedUntil(const UpstreamDirectory &directory,
                                             const PlacementQuery &query,
                                             TimePoint until,
                                             std::size_t ahead,
                                             TimePoint now) const;

    /** This node's permits for all upstreams that may serve the request; absent unless all of them limit their
     *  requests. */
    std::optional<RequestPermits> permits(const UpstreamDirectory &directory,
                                          const PlacementQuery &query,
                                          TimePoint now) const;

    /** The best upstream with free capacity; absent if there is none. */
    std::optional<Placement> choose(const UpstreamDirectory &directory, const PlacementQuery &query, TimePoint now);

    /** The engine that a request waits for when none has free capacity; empty if any will do. */
    UpstreamName preferredEngine(const UpstreamDirectory &directory, const PlacementQuery &query, TimePoint now);

    /** Records that the request was sent to an engine. unreadTokens: estimated prompt tokens that the engine must
     *  prefill for it. */
    void noteSent(const PlacementQuery &query, std::uint32_t unreadTokens, TimePoint now);

    /** True if these requests have engines of their own and therefore wait in a separate queue of the pool. */
    bool usesOwnQueue(const PlacementQuery &query, TimePoint now);

    /** Marks all due probes as started and returns them. */
    std::vector<RelayProbe> startDueProbes(const UpstreamDirectory &directory, TimePoint now);

    /** False if the upstream is gone, is leaving, or wants no requests now. */
    bool mayProbe(const UpstreamDirectory &directory, const UpstreamName &upstream, TimePoint now) const;

    /** Estimated share of the pool's seats in use, over upstreams that accept new work; absent if there is none. */
    std::optional<double> seatUtilization(const UpstreamDirectory &directory,
                                          const PoolName &pool,
                                          TimePoint now) const;

    /** The work of this node at all engines. */
    WorkAccount ownWork(TimePoint now) const;

    /** Replaces the work of all other nodes; engines that are not listed have none from them. */
    void updateOthers(const UpstreamDirectory &directory, const WorkAccount &others, TimePoint now);

    /** The state of an upstream; created on first use. */
    UpstreamLoad &load(const UpstreamName &name) { return loads_[name]; }

private:
    struct Candidate;

    std::vector<Candidate> candidates(const UpstreamDirectory &directory,
                                      const PlacementQuery &query,
                                      TimePoint now) const;
    /** Keeps the upstreams that can be trusted to respond. */
    static void keepResponding(std::vector<Candidate> &candidates, CommonSilence commonSilence);
    const UpstreamLoad *find(const UpstreamName &name) const;
    bool mayServe(const UpstreamEntry &entry, const PlacementQuery &query) const;
    /** The note that the upstream's version must be in; nullptr if any version will do. */
    const PoolNote *requiredNote(const UpstreamDirectory &directory, const PlacementQuery &query) const;
    /** The first engine in order that is expected to answer in time; nullptr if the request should wait for one of its
     *  preferred engines. */
    static const Candidate *firstSuitable(const std::vector<Candidate> &eligible, const PlacementQuery &query);

    /** Orders engines by the prompt's shared prefix and estimates the tokens that each would have to prefill. */
    static void rank(std::vector<Candidate> &eligible, const PlacementQuery &query);

    /** Keeps only the upstreams of the request's partition, or all if those have no room and the request may overflow.
     *  Engines are then ordered by the prompt's shared prefix. */
    void keepPartition(std::vector<Candidate> &eligible, const PlacementQuery &query, TimePoint now);

    DataCenterName dataCenter_;
    const PeerView &peers_;
    const UpstreamNotices &notices_;
    const UpstreamLimits &limits_;
    const VersionNotes &versionNotes_;
    RandomSource random_;
    std::map<PoolName, EnginePartitioner> partitioners_;
    std::map<UpstreamName, UpstreamLoad> loads_;
};

} // namespace GeraniumLever
