/** The scheduler of one shard: passes each input to the systems over the shard's state, in a fixed order. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

class ShardScheduler
{
public:
    ShardScheduler(ShardKey shard, AttemptIssuer &issuer) : state_(std::move(shard), issuer) { }

    /** Takes the shard's upstreams, the classes and the teams of a catalog into use. */
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

    /** Refuses everything that waits, because the shard is gone. */
    void close(TimePoint now, Commands &commands);

    /** Adds the shard's free seats and waits to its pool's summary. */
    void addTo(PoolSummary &summary, TimePoint now) const;

    std::uint32_t inFlightAt(const UpstreamName &upstream) const { return state_.running.countAt(upstream); }

    /** True if the catalog has no upstream of the shard any more. */
    bool gone() const { return state_.upstreams.empty(); }

private:
    bool answeredByRunning(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands);
    bool admit(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands);
    WaitingRequest makeWaiting(const NodeName &from, const SlotRequest &request, TimePoint now);
    void reclassify(TimePoint now, Commands &commands);
    void refuseUnplaceable(TimePoint now, Commands &commands);
    void dropSilent(TimePoint now);
    void review(TimePoint now, Commands &commands);

    ShardState state_;
    /** True until the waiting requests have been compared with a changed catalog or set of upstreams. */
    bool queueOutdated_ = false;
    TimePoint nextReview_;
    TimePoint nextPause_;
};

} // namespace GeraniumLever
