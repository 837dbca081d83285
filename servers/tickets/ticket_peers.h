/** Exchange of tickets between nodes. */
#pragma once

#include <optional>
#include <vector>

#include "core/core.h"
#include "servers/tickets/ticket_applier.h"
#include "servers/tickets/ticket_follower.h"

namespace GeraniumLever {

class TicketPeers
{
public:
    TicketPeers(NodeName self, TicketApplier &applier, TicketFollower &follower);

    void heartbeatReceived(const Heartbeat &heartbeat, TimePoint now, Commands &commands);
    void batchReceived(const NodeName &from, const TicketBatch &batch, TimePoint now, Commands &commands);
    void fetchReceived(const NodeName &from, const TicketFetch &fetch, Commands &commands) const;
    void snapshotRequested(const NodeName &from, Commands &commands) const;
    void snapshotReceived(const NodeName &from, const Snapshot &snapshot, TimePoint now, Commands &commands);

    /** Sends the tickets that have come into force since the last call, if `push` is true. */
    void tick(bool push, const std::vector<NodeName> &pushTo, Commands &commands);

    /** The highest head that a peer of the same epoch has told. */
    TicketNumber highestHeard() const { return highestHeard_; }

    /** Since when peers that take requests have been heard without a break; nothing if none is heard now. */
    std::optional<TimePoint> readyPeersSince(TimePoint now) const;

    /** When the epoch of a peer last contradicted the own one; nothing if none did. */
    std::optional<TimePoint> lastEpochMismatch() const { return lastEpochMismatch_; }

private:
    /** What a peer last said of its catalog. */
    struct Standing
    {
        TicketNumber head;
        std::uint64_t digest = 0;
        TimePoint heard;
    };

    struct Fetch
    {
        NodeName peer;
        TimePoint since;
    };

    void fetchFrom(const NodeName &peer, TimePoint now, Commands &commands);
    bool contradicts(StoreEpoch epoch, const NodeName &peer, TimePoint now, Commands &commands);
    void compareDigests(const Heartbeat &heartbeat, TimePoint now, Commands &commands);
    /** Peers heard lately that have the own head and this digest. */
    std::size_t votesFor(std::uint64_t digest, TimePoint now) const;
    void forgetSilent(TimePoint now);

    NodeName self_;
    TicketApplier &applier_;
    TicketFollower &follower_;
    Table<NodeName, Standing> standings_;
    std::optional<Fetch> fetch_;
    TicketNumber highestHeard_;
    std::optional<TimePoint> firstReadyHeard_;
    TimePoint lastReadyHeard_;
    std::optional<TimePoint> lastEpochMismatch_;
    /** The digest that a snapshot asked for as a repair must have. */
    std::optional<std::uint64_t> repairDigest_;
    TimePoint nextRepair_;
    TicketNumber pushedHead_;
};

} // namespace GeraniumLever
