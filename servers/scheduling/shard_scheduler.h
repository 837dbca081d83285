/** The scheduler of one shard: owns its queue, running attempts and upstreams, and decides on grants and refusals. */
#pragma once

#include <string_view>

#include "servers/scheduling/attempt_issuer.h"
#include "servers/scheduling/running_table.h"
#include "servers/scheduling/upstream_state.h"
#include "servers/scheduling/waiting_queue.h"

namespace GeraniumLever {

class ShardScheduler
{
public:
    ShardScheduler(ShardKey shard, AttemptIssuer &issuer);

    /** Takes the shard's upstreams, the classes and the teams of a catalog into use. */
    void applyCatalog(const CatalogPtr &catalog);

    void slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands);
    void slotCancelled(const SlotCancel &cancel, TimePoint now, Commands &commands);
    void attemptProgressed(const AttemptProgress &progress, TimePoint now);
    void attemptEnded(const AttemptEnd &end, TimePoint now, Commands &commands);
    void attemptRegistered(const NodeName &from, const AttemptRegistration &registration, TimePoint now);
    void loadReported(const LoadReport &report, TimePoint now);
    void setLeaving(const UpstreamName &upstream, bool leaving);
    void setHeld(const UpstreamName &upstream, bool held);
    void setSeatShare(double share);
    void nodeLost(const NodeName &node, TimePoint now, Commands &commands);
    void tick(TimePoint now, Commands &commands);

    /** Refuses everything that waits, because the shard is gone. */
    void close(TimePoint now, Commands &commands);

    /** Adds the shard's free seats and waits to its pool's summary. */
    void addTo(PoolSummary &summary) const;

    std::uint32_t inFlightAt(const UpstreamName &upstream) const { return running_.countAt(upstream); }

    /** True if the catalog has no upstream of the shard any more. */
    bool gone() const { return upstreams_.empty(); }

private:
    struct Placement
    {
        RequestId request;
        UpstreamName upstream;
    };

    std::uint32_t usableSeats(const UpstreamState &upstream) const;
    bool hasFreeSeat(const UpstreamState &upstream) const;
    bool anyFreeSeat() const;
    bool anyOpenUpstream(const SlotRequest &request) const;
    const UpstreamState *chooseUpstream(const SlotRequest &request) const;
    std::optional<Placement> placeFirst(const ClassRank &rank) const;
    void schedule(TimePoint now, Commands &commands);
    void grant(const Placement &placement, std::string_view reason, TimePoint now, Commands &commands);
    void refuse(const RequestId &request, ResultCode code, TimePoint now, Commands &commands);
    void refuseUnqueued(
        const NodeName &from, const SlotRequest &request, ResultCode code, Duration retryAfter, Commands &commands);
    void repeatGrant(const NodeName &from, const RunningAttempt &attempt, Commands &commands) const;
    void reclassify(TimePoint now, Commands &commands);
    void refuseUnplaceable(TimePoint now, Commands &commands);
    bool makeRoomFor(std::uint32_t tier, TimePoint now, Commands &commands);
    Duration retryAfterFor(const ClassName &requestClass);

    ShardKey shard_;
    AttemptIssuer &issuer_;
    CatalogPtr catalog_;
    Table<UpstreamName, UpstreamState> upstreams_;
    WaitingQueue queue_;
    RunningTable running_;
    double seatShare_ = 1.0;
    std::uint64_t sequence_ = 0;
    /** True until the waiting requests have been compared with a changed catalog or set of upstreams. */
    bool queueOutdated_ = false;
};

} // namespace GeraniumLever
