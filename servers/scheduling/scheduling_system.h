/** The scheduling interface of a node: one method for each kind of input, and a tick. */
#pragma once

#include <memory>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Runs the schedulers of all shards that this node is responsible for. Methods append the resulting commands to the
 * given list; replies to an ingress are PeerSend commands, also when the ingress is this node. */
class SchedulingSystem
{
public:
    /** origin: this node's origin hash, part of the attempt identifiers that it issues. seed: seed of the random
     * numbers that spread retry delays. */
    SchedulingSystem(NodeName self, std::uint64_t origin, std::uint64_t seed);
    ~SchedulingSystem();

    /** Switches to a new catalog. Shards without upstreams in it are removed in the next tick. */
    void applyCatalog(const CatalogPtr &catalog, TimePoint now);

    /** Queues a request. The reply to the sender is a SlotGrant or a SlotRefusal, now or in a later tick. A repeated
     * request replaces its earlier copy in the queue; if the request already holds a seat, the same grant is sent
     * again. */
    void slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands);

    /** Removes a request from the queue, or frees its seat if it has already been granted one. */
    void slotCancelled(const NodeName &from, const SlotCancel &cancel, TimePoint now, Commands &commands);

    void attemptProgressed(const NodeName &from, const AttemptProgress &progress, TimePoint now);
    void attemptEnded(const NodeName &from, const AttemptEnd &end, TimePoint now, Commands &commands);

    /** Adds a running attempt that another scheduler granted. */
    void attemptRegistered(const NodeName &from, const AttemptRegistration &registration, TimePoint now);

    /** Updates an upstream's readiness and leaving state from its load report, and takes into account requests in the
     * report that were not granted here. Reports lag behind the count kept here. */
    void loadReported(const LoadReport &report, TimePoint now);

    /** Updates the prefix table. */
    void cacheChanged(const CacheEvent &event, TimePoint now);

    /** The upstream gets no new grants while it is leaving. */
    void upstreamLeaving(const UpstreamName &upstream, bool leaving, TimePoint now);

    /** held: true while an order keeps the upstream out of service (see the orders package). */
    void upstreamHeld(const UpstreamName &upstream, bool held, TimePoint now);

    /** Called when this node becomes the scheduler of the upstream. The upstream gets no grants until its next load
     * report or the given time, since it may be leaving and a new scheduler does not know this yet. */
    void withholdGrantsUntilReport(const UpstreamName &upstream, TimePoint until);

    /** Frees the seats and removes the waiting requests of an ingress node that has failed. */
    void nodeLost(const NodeName &node, TimePoint now, Commands &commands);

    /** Sets the fraction of each upstream's seats that this node may use; 1 is all. It is less than 1 if the node
     * schedules without being the agreed scheduler because it reaches no other node. The highest tier is not limited
     * by it: engines serve that tier first, whichever scheduler granted the other work. */
    void setSeatShare(double share);

    /** Grants, refuses and pauses requests; must be called every few milliseconds. */
    void tick(TimePoint now, Commands &commands);

    /** Free seats and expected waits per pool, for heartbeats. */
    std::vector<PoolSummary> summaries(TimePoint now) const;

    /** Number of attempts at an upstream that this node's scheduler has on record. */
    std::uint32_t inFlightAt(const UpstreamName &upstream) const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
