/** Exchanges tickets with other nodes. */
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

    /** If `push` is true, sends the tickets that were applied since the last call to the targets. */
    void tick(bool push, const std::vector<NodeName> &targets, Commands &commands);

    /** The highest head reported by a peer with the same epoch. */
    TicketNumber highestPeerHead() const { return highestPeerHead_; }

    /** Start of the current uninterrupted period of heartbeats from peers that take requests; std::nullopt if there is
     *  none at present. */
    std::optional<TimePoint> readyPeersSince(TimePoint now) const;

    /** Time of the last epoch mismatch with a peer; std::nullopt if there was none. */
    std::optional<TimePoint> lastEpochMismatch() const { return lastEpochMismatch_; }

private:
    /** The state of its catalog that a peer last reported. */
    struct PeerCatalogState
    {
        TicketNumber head;
        std::uint64_t digest = 0;
        TimePoint receivedAt;
    };

    struct Fetch
    {
        NodeName peer;
        TimePoint sentAt;
    };

    void fetchFrom(const NodeName &peer, TimePoint now, Commands &commands);
    bool hasEpochMismatch(StoreEpoch epoch, const NodeName &peer, TimePoint now, Commands &commands);
    void compareDigests(const Heartbeat &heartbeat, TimePoint now, Commands &commands);
    /** Number of peers with a recent heartbeat that have the same head as this node and the given digest. */
    std::size_t votesFor(std::uint64_t digest, TimePoint now) const;
    void removeExpiredPeerStates(TimePoint now);

    NodeName self_;
    TicketApplier &applier_;
    TicketFollower &follower_;
    Table<NodeName, PeerCatalogState> peerStates_;
    std::optional<Fetch> fetch_;
    TicketNumber highestPeerHead_;
    std::optional<TimePoint> readyPeersSince_;
    TimePoint lastReadyHeartbeat_;
    std::optional<TimePoint> lastEpochMismatch_;
    /** The digest that a snapshot requested for a repair must have. */
    std::optional<std::uint64_t> repairDigest_;
    TimePoint nextRepair_;
    TicketNumber pushedHead_;
};

} // namespace GeraniumLever
