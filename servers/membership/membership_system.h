/** Heartbeats and the view of the other nodes. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** A node that may exist, from the settings or the platform's VM list. */
struct NodeAddress
{
    NodeName node;
    DataCenterName dataCenter;
    /** "a.b.c.d:port" of its mesh listener. */
    std::string meshAddress;
    /** "a.b.c.d:port" of its caller listener, to which requests are forwarded; empty if not known. */
    std::string callerAddress;

    auto operator<=>(const NodeAddress &) const = default;
};

/** What is known of a peer. */
struct Peer
{
    NodeAddress address;
    /** The last heartbeat; absent if none has arrived yet. */
    std::optional<Heartbeat> heartbeat;
    TimePoint lastHeard;
    bool alive = false;

    bool operator==(const Peer &) const = default;
};

/** What the node says of itself in its heartbeats. */
struct SelfDescription
{
    NodeState state = NodeState::Starting;
    TicketNumber ticketHead;
    std::uint64_t catalogDigest = 0;
    StoreEpoch storeEpoch;
    std::vector<PoolSummary> pools;

    bool operator==(const SelfDescription &) const = default;
};

class MembershipSystem
{
public:
    MembershipSystem(NodeAddress self, Incarnation incarnation, std::vector<NodeAddress> seeds);

    /** Adds nodes that the platform lists. The list lags: a node that still sends heartbeats stays, and a listed one is
     *  only a candidate until it is heard. */
    void vmListReceived(const VmList &list, TimePoint now);

    void heartbeatReceived(const Heartbeat &heartbeat, TimePoint now);

    /** The connection broke; the peer counts as gone when its heartbeats stay away, or at once if it was leaving. */
    void connectionLost(const NodeName &node, TimePoint now);

    /** Sends due heartbeats and notes peers whose heartbeats stay away. */
    void tick(const SelfDescription &self, TimePoint now, Commands &commands);

    /** Sends heartbeats at the next tick, for changes that peers should learn at once. */
    void announceNow();

    /** Peers that have become unreachable since the last call. */
    std::vector<NodeName> takeLost();

    /** True once after each change of any data centre's live nodes. */
    bool takeChanged();

    /** All known addresses but the own, for the mesh to connect to. */
    std::vector<NodeAddress> knownPeers() const;

    const Table<NodeName, Peer> &peers() const;

    /** Ready nodes of a data centre in name order, this node included if it is ready. */
    std::vector<NodeName> readyNodes(const DataCenterName &dataCenter) const;

    /** Data centres that have at least one ready node in the view. */
    std::vector<DataCenterName> dataCenters() const;

    /** The node that schedules the shard; nothing if its data centre has no ready node. */
    std::optional<NodeName> schedulerFor(const ShardKey &shard) const;

    /** True if this node is one of the two nodes of its data centre that read the ticket head from the store. */
    bool isDelegate() const;

    /** The delegates of a data centre as far as known. */
    std::vector<NodeName> delegatesOf(const DataCenterName &dataCenter) const;

    const NodeAddress &self() const;

private:
    NodeAddress self_;
    Incarnation incarnation_;
    NodeState selfState_ = NodeState::Starting;
    Table<NodeName, Peer> peers_;
    std::vector<NodeName> lost_;
    bool changed_ = false;
    std::uint64_t sequence_ = 0;
    TimePoint nextHeartbeat_;
};

} // namespace GeraniumLever
