/** The scheduler part of a node: one entry point per input, one tick. */
#pragma once

#include <memory>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Runs the schedulers of all shards that this node is responsible for. Appends its commands to the given list; answers
 *  to an ingress are PeerSend commands, also when the ingress is this node. */
class SchedulingSystem
{
public:
    /** origin: this node's origin hash, for the attempt identifiers it issues. */
    SchedulingSystem(NodeName self, std::uint64_t origin, std::uint64_t seed);
    ~SchedulingSystem();

    /** Takes a new catalog into use; shards appear and disappear with it. */
    void applyCatalog(const CatalogPtr &catalog, TimePoint now);

    /** Queues a request. The answer is a SlotGrant or a SlotRefusal to the sender, now or in a later tick. A repeat of
     * a request that is still queued replaces it; of one that holds a seat, gets the same grant again. */
    void slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands);

    /** Takes a request out of the queue, or frees its seat if a grant is already on its way. */
    void slotCancelled(const NodeName &from, const SlotCancel &cancel, TimePoint now, Commands &commands);

    void attemptProgressed(const NodeName &from, const AttemptProgress &progress, TimePoint now);
    void attemptEnded(const NodeName &from, const AttemptEnd &end, TimePoint now, Commands &commands);

    /** Counts an attempt that another scheduler granted. */
    void attemptRegistered(const NodeName &from, const AttemptRegistration &registration, TimePoint now);

    /** Corrects the own count of in-flight work by an upstream's lagging report, and notes readiness and leaving. */
    void loadReported(const LoadReport &report, TimePoint now);

    void cacheChanged(const CacheEvent &event, TimePoint now);

    /** The upstream gets no new grant while leaving. */
    void upstreamLeaving(const UpstreamName &upstream, bool leaving, TimePoint now);

    /** True if orders currently take the upstream out of service (see the orders package). */
    void upstreamHeld(const UpstreamName &upstream, bool held, TimePoint now);

    /** This node has become the scheduler of the upstream: it gets no grant until it has reported, or until the given
     *  time, so that one that is leaving is not given work by a scheduler that has not heard so. */
    void withholdGrantsUntilReport(const UpstreamName &upstream, TimePoint until);

    /** Frees the seats and queue places of an ingress node that is gone. */
    void nodeLost(const NodeName &node, TimePoint now, Commands &commands);

    /** Tells which share of every upstream's seats this node may use, when it schedules for a shard without being its
     *  agreed scheduler (nobody else reachable). 1 is all. The highest tier is not bound by a smaller share: engines
     * serve it first, whoever granted the rest. */
    void setSeatShare(double share);

    /** Grants, refuses and pauses; to be called every few milliseconds. */
    void tick(TimePoint now, Commands &commands);

    /** Free seats and expected waits per pool, for heartbeats. */
    std::vector<PoolSummary> summaries(TimePoint now) const;

    /** In-flight attempts at an upstream as counted here. */
    std::uint32_t inFlightAt(const UpstreamName &upstream) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
