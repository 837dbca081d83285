/** Heartbeats and the view of the other nodes. */
#pragma once

#include <map>
#include <optional>
#include <set>
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
    std::vector<NodeName> takeLostPeers();

    /** True once after each change of any data centre's live nodes. */
    bool takeReadyNodesChanged();

    /** Addresses for the mesh to connect to: all known ones, or, in a fleet of more than FullMeshNodes, those of the
     * own data centre and of the gateways of the others. */
    std::vector<NodeAddress> meshTargets() const;

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

    /** The nodes to which a delegate sends new tickets: the live ones of its own data centre, and one node that is
     * heard of each other data centre. */
    std::vector<NodeName> pushTargets() const;

    const NodeAddress &self() const;

private:
    using NodesByDataCenter = std::map<DataCenterName, std::vector<NodeName>>;

    /** Rotation through the nodes of another data centre while none of them is heard. */
    struct Search
    {
        std::size_t offset = 0;
        TimePoint next;
    };

    bool fullMesh() const;
    /** How long a node of another data centre may stay silent before it counts as gone. */
    Duration remoteSilenceLimit() const;
    void addCandidate(const NodeAddress &address, TimePoint now);
    void setSelfState(NodeState state);
    void markLost(const NodeName &name, Peer &peer);
    void expirePeers(TimePoint now);
    /** Pause between two heartbeats to the same node of the own data centre. */
    Duration localPeriod() const;
    std::vector<NodeName> localNodes() const;
    /** True if peers must learn something at once. */
    bool announcementDue(const SelfDescription &self) const;
    Heartbeat makeHeartbeat(const SelfDescription &self);
    void sendLocalHeartbeats(const SelfDescription &self, TimePoint now, Commands &commands);
    void sendRemoteHeartbeats(const SelfDescription &self, TimePoint now, Commands &commands);
    std::vector<NodeName> remoteTargets(const DataCenterName &dataCenter,
                                        const NodesByDataCenter &alive,
                                        TimePoint now);
    /** The next nodes to try of a data centre of which nobody is heard. */
    std::vector<NodeName> searchTargets(const DataCenterName &dataCenter, TimePoint now);
    /** This node and the live peers. */
    NodesByDataCenter aliveNodes() const;
    /** Position of this node among the gateways to the data centre; GatewaysPerDataCenter or more if it is none. */
    std::size_t gatewayRank(const DataCenterName &dataCenter, const NodesByDataCenter &alive) const;
    std::vector<DataCenterName> otherDataCenters() const;
    /** The last heartbeats of the data centres whose first gateway this node is, for the other local nodes. */
    std::vector<Heartbeat> relayedHeartbeats(TimePoint now) const;

    NodeAddress self_;
    Incarnation incarnation_;
    NodeState selfState_ = NodeState::Starting;
    Table<NodeName, Peer> peers_;
    /** Nodes that the settings or the last VM list name; they are never forgotten. */
    std::set<NodeName> seeds_;
    std::set<NodeName> listed_;
    Table<DataCenterName, Search> searches_;
    std::vector<NodeName> remoteTargets_;
    std::vector<NodeName> lost_;
    bool changed_ = false;
    std::uint64_t sequence_ = 0;
    TicketNumber announcedHead_;
    NodeState announcedState_ = NodeState::Starting;
    bool announce_ = true;
    TimePoint nextLocalHeartbeat_;
    TimePoint nextRemoteHeartbeat_;
    TimePoint nextExpiry_;
};

} // namespace GeraniumLever
