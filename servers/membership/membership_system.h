/** Exchanges heartbeats and maintains this node's view of the other nodes. */
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Address of a node from the settings or the platform's VM list; the node need not be running. */
struct NodeAddress
{
    NodeName node;
    DataCenterName dataCenter;
    /** "a.b.c.d:port" of its mesh listener. */
    std::string meshAddress;
    /** "a.b.c.d:port" of its caller listener, to which requests are forwarded; empty if unknown. */
    std::string callerAddress;

    auto operator<=>(const NodeAddress &) const = default;
};

/** This node's view of a peer. */
struct Peer
{
    NodeAddress address;
    /** The last heartbeat; absent if none has been received yet. */
    std::optional<Heartbeat> heartbeat;
    TimePoint lastHeartbeatAt;
    bool alive = false;

    bool operator==(const Peer &) const = default;
};

/** The state of this node that its heartbeats report. */
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

    /** Adds the nodes on the platform's VM list. The list lags behind: a node that still sends heartbeats is kept, and
     * a listed node is only a candidate until a heartbeat arrives from it. */
    void vmListReceived(const VmList &list, TimePoint now);

    void heartbeatReceived(const Heartbeat &heartbeat, TimePoint now);

    /** Handles a broken connection. A leaving peer counts as lost at once, any other one when its heartbeats time out.
     */
    void connectionLost(const NodeName &node, TimePoint now);

    /** Sends due heartbeats and marks peers whose heartbeats have timed out as lost. */
    void tick(const SelfDescription &self, TimePoint now, Commands &commands);

    /** Sends heartbeats at the next tick, for changes that peers must learn immediately. */
    void announceNow();

    /** Returns the peers that were lost or restarted since the last call. */
    std::vector<NodeName> takeLostPeers();

    /** Returns whether the ready nodes of any data centre changed since the last call. */
    bool takeReadyNodesChanged();

    /** Addresses that the mesh must connect to: all known ones, or, in a fleet of more than FullMeshNodes, those of
     * this data centre and of the gateways of the other data centres. */
    std::vector<NodeAddress> meshTargets() const;

    const Table<NodeName, Peer> &peers() const;

    /** Ready nodes of a data centre in name order, including this node if it is ready. */
    std::vector<NodeName> readyNodes(const DataCenterName &dataCenter) const;

    /** Data centres with at least one ready node. */
    std::vector<DataCenterName> dataCenters() const;

    /** The node that schedules the shard; std::nullopt if its data centre has no ready node. */
    std::optional<NodeName> schedulerFor(const ShardKey &shard) const;

    /** True if this node is one of the two nodes of its data centre that read the ticket head from the store. */
    bool isDelegate() const;

    /** The known delegates of a data centre. */
    std::vector<NodeName> delegatesOf(const DataCenterName &dataCenter) const;

    /** The nodes to which a delegate sends new tickets: the live nodes of its own data centre and one node of each
     * other data centre from which heartbeats arrive. In a large fleet, the remote nodes are those that this node
     * exchanges heartbeats with. */
    std::vector<NodeName> pushTargets() const;

    const NodeAddress &self() const;

private:
    using NodesByDataCenter = std::map<DataCenterName, std::vector<NodeName>>;

    /** Rotates through the nodes of another data centre while none of them sends heartbeats. */
    struct ProbeRotation
    {
        std::size_t offset = 0;
        TimePoint next;
    };

    bool isFullMesh() const;
    /** Time without a heartbeat after which a node of another data centre counts as lost. */
    Duration remotePeerTimeout() const;
    void addCandidate(const NodeAddress &address, TimePoint now);
    void setSelfState(NodeState state);
    void markLost(const NodeName &name, Peer &peer);
    void expirePeers(TimePoint now);
    /** Interval between two heartbeats to the same node of this data centre. */
    Duration localPeriod() const;
    std::vector<NodeName> localNodes() const;
    /** True if there is a change that peers must learn immediately. */
    bool isAnnouncementDue(const SelfDescription &self) const;
    Heartbeat makeHeartbeat(const SelfDescription &self);
    void sendLocalHeartbeats(const SelfDescription &self, TimePoint now, Commands &commands);
    void sendRemoteHeartbeats(const SelfDescription &self, TimePoint now, Commands &commands);
    std::vector<NodeName> remoteTargets(const DataCenterName &dataCenter,
                                        const NodesByDataCenter &alive,
                                        TimePoint now);
    /** The next nodes to probe in a data centre from which no heartbeats arrive. */
    std::vector<NodeName> probeTargets(const DataCenterName &dataCenter, TimePoint now);
    /** This node and the live peers by data centre. */
    NodesByDataCenter aliveNodes() const;
    /** Position of this node among the gateways to the data centre; GatewaysPerDataCenter or more if it is not one. */
    std::size_t gatewayRank(const DataCenterName &dataCenter, const NodesByDataCenter &alive) const;
    std::vector<DataCenterName> otherDataCenters() const;
    /** The last heartbeat from each data centre to which this node is the first gateway, for the other local nodes. */
    std::vector<Heartbeat> relayedHeartbeats(TimePoint now) const;

    NodeAddress self_;
    Incarnation incarnation_;
    NodeState selfState_ = NodeState::Starting;
    Table<NodeName, Peer> peers_;
    /** Nodes named in the settings or in the last VM list; they are never removed from peers_. */
    std::set<NodeName> seeds_;
    std::set<NodeName> listedNodes_;
    Table<DataCenterName, ProbeRotation> probeRotations_;
    std::vector<NodeName> remoteTargets_;
    std::vector<NodeName> lostPeers_;
    bool readyNodesChanged_ = false;
    std::uint64_t sequence_ = 0;
    TicketNumber announcedHead_;
    NodeState announcedState_ = NodeState::Starting;
    bool announcementPending_ = true;
    TimePoint nextLocalHeartbeat_;
    TimePoint nextRemoteHeartbeat_;
    TimePoint nextExpiry_;
};

} // namespace GeraniumLever
