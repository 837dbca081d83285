/** The scheduler of one shard: applies each input to the shard's state by calling this package's systems in a fixed
 * order. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

class ShardScheduler
{
public:
    ShardScheduler(ShardKey shard, AttemptIssuer &issuer) : state_(std::move(shard), issuer) { }

    /** Switches to the shard's upstreams, the classes and the teams of a new catalog. */
    void applyCatalog(const CatalogPtr &catalog);

    void slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands);
    void slotCancelled(const SlotCancel &cancel, TimePoint now, Commands &commands);
    void attemptProgressed(const AttemptProgress &progress, TimePoint now);
    void attemptEnded(const AttemptEnd &end, TimePoint now, Commands &commands);
    void attemptRegistered(const NodeName &from, const AttemptRegistration &registration, TimePoint now);
    void loadReported(const LoadReport &report, TimePoint now);
    void cacheChanged(const CacheEvent &event);
    void setLeaving(const UpstreamName &upstream, bool leaving);
    void setHeld(const UpstreamName &upstream, bool held);
    void withholdGrantsUntilReport(const UpstreamName &upstream, TimePoint until);
    void setSeatShare(double share) { state_.seatShare = share; }
    void nodeLost(const NodeName &node, TimePoint now, Commands &commands);
    void tick(TimePoint now, Commands &commands);

    /** Refuses all waiting requests; called when the shard has been removed. */
    void refuseAll(TimePoint now, Commands &commands);

    /** Adds the shard's seats, free seats and expected waits to the summary of its pool. */
    void addToSummary(PoolSummary &summary, TimePoint now) const;

    std::uint32_t inFlightAt(const UpstreamName &upstream) const { return state_.running.countAt(upstream); }

    /** True if the catalog no longer has any upstream of the shard. */
    bool isRemoved() const { return state_.upstreams.empty(); }

private:
    /** Sends the grant again if the request already holds a seat; false if it holds none. If the seat is no longer of
     * use, because a retry excludes its upstream or the request resumes after a pause, frees the seat and returns
     * false. */
    bool answerRepeatedRequest(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands);
    /** Refuses a request that cannot be queued; false if it has been refused. */
    bool admit(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands);
    WaitingRequest makeWaiting(const NodeName &from, const SlotRequest &request, TimePoint now);
    /** Moves waiting requests to their class's new tier, and refuses those whose class was removed. */
    void reclassify(TimePoint now, Commands &commands);
    /** Refuses waiting requests that no available upstream can take. */
    void refuseUnplaceable(TimePoint now, Commands &commands);
    /** Removes attempts without a report within AttemptReportTimeout. */
    void removeSilentAttempts(TimePoint now);
    /** Runs the checks that are due every PeriodicCheckInterval. */
    void runPeriodicChecks(TimePoint now, Commands &commands);

    ShardState state_;
    /** True if the catalog or the available upstreams have changed since the waiting requests were checked against
     * them. */
    bool queueOutdated_ = false;
    TimePoint nextPeriodicCheck_;
    TimePoint nextPauseCheck_;
};

} // namespace GeraniumLever
