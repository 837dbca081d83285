#include "servers/membership/membership_system.h"

#include <algorithm>

#include "servers/membership/heartbeat_plan.h"
#include "servers/membership/rendezvous.h"

namespace GeraniumLever {

namespace {

/** Pause between two heartbeats to the same peer, as long as everybody exchanges them with everybody. */
constexpr Duration HeartbeatPeriod = std::chrono::seconds(1);
/** The same between gateways of two data centres in a large fleet. */
constexpr Duration GatewayPeriod = std::chrono::seconds(2);
/** Most regular heartbeats that a node sends to its own data centre in one HeartbeatPeriod in a large fleet. */
constexpr int LocalHeartbeatsPerPeriod = 6;
/** A peer counts as gone after this many missed heartbeats. */
constexpr int MissedHeartbeats = 3;
/** A silent node that neither the settings nor the VM list name is forgotten after this time. */
constexpr Duration ForgetAfter = std::chrono::seconds(60);
/** Pause between two walks over all peers for silent ones. */
constexpr Duration ExpiryPeriod = std::chrono::milliseconds(100);
constexpr std::size_t DelegatesPerDataCenter = 2;

bool isReady(const Peer &peer)
{
    return peer.alive && peer.heartbeat.has_value() && peer.heartbeat->state == NodeState::Ready;
}

/** A repeated or reordered heartbeat of the same run of the node. */
bool isStale(const Peer &peer, const Heartbeat &heartbeat)
{
    return peer.heartbeat.has_value() && peer.heartbeat->incarnation == heartbeat.incarnation
        && heartbeat.sequence <= peer.heartbeat->sequence;
}

} // namespace

MembershipSystem::MembershipSystem(NodeAddress self, Incarnation incarnation, std::vector<NodeAddress> seeds)
    : self_(std::move(self)), incarnation_(incarnation)
{
    for (const NodeAddress &seed : seeds) {
        seeds_.insert(seed.node);
        addCandidate(seed, TimePoint());
    }
}

void MembershipSystem::vmListReceived(const VmList &list, TimePoint now)
{
    listed_.clear();
    for (const VmEntry &entry : list.entries) {
        if (!entry.isNode) {
            continue;
        }
        const NodeName name(entry.name);
        listed_.insert(name);
        const Peer *known = peers_.find(name);
        const std::string callerAddress = known == nullptr ? std::string() : known->address.callerAddress;
        addCandidate(NodeAddress { name, entry.dataCenter, entry.address, callerAddress }, now);
    }
}

void MembershipSystem::heartbeatReceived(const Heartbeat &heartbeat, TimePoint now)
{
    if (heartbeat.node == self_.node) {
        return;
    }
    if (!peers_.contains(heartbeat.node)) {
        addCandidate(NodeAddress { heartbeat.node, heartbeat.dataCenter, {}, {} }, now);
    }
    Peer &peer = *peers_.edit(heartbeat.node);
    if (isStale(peer, heartbeat)) {
        return;
    }
    const bool replaced = peer.heartbeat.has_value() && peer.heartbeat->incarnation != heartbeat.incarnation;
    if (replaced && peer.alive) {
        markLost(heartbeat.node, peer);
    }
    const bool wasReady = isReady(peer);
    peer.address.dataCenter = heartbeat.dataCenter;
    peer.heartbeat = heartbeat;
    peer.lastHeard = now;
    peer.alive = true;
    changed_ = changed_ || wasReady != isReady(peer);
}

void MembershipSystem::connectionLost(const NodeName &node, TimePoint)
{
    Peer *peer = peers_.edit(node);
    if (peer == nullptr || !peer->alive || peer->heartbeat->state != NodeState::Leaving) {
        return;
    }
    markLost(node, *peer);
}

void MembershipSystem::tick(const SelfDescription &self, TimePoint now, Commands &commands)
{
    setSelfState(self.state);
    if (now >= nextExpiry_) {
        nextExpiry_ = now + ExpiryPeriod;
        expirePeers(now);
    }
    const bool announce = announcementDue(self);
    announce_ = false;
    announcedState_ = self.state;
    announcedHead_ = self.ticketHead;
    if (announce || now >= nextLocalHeartbeat_) {
        sendLocalHeartbeats(self, now, commands);
    }
    if (announce || now >= nextRemoteHeartbeat_) {
        sendRemoteHeartbeats(self, now, commands);
    }
}

void MembershipSystem::announceNow()
{
    announce_ = true;
}

std::vector<NodeName> MembershipSystem::takeLostPeers()
{
    std::vector<NodeName> lost;
    lost.swap(lost_);
    return lost;
}

bool MembershipSystem::takeReadyNodesChanged()
{
    const bool changed = changed_;
    changed_ = false;
    return changed;
}

std::vector<NodeAddress> MembershipSystem::meshTargets() const
{
    std::vector<NodeAddress> addresses;
    for (const auto &[name, peer] : peers_) {
        const bool wanted = fullMesh() || peer.address.dataCenter == self_.dataCenter
            || std::find(remoteTargets_.begin(), remoteTargets_.end(), name) != remoteTargets_.end();
        if (wanted && !peer.address.meshAddress.empty()) {
            addresses.push_back(peer.address);
        }
    }
    return addresses;
}

const Table<NodeName, Peer> &MembershipSystem::peers() const
{
    return peers_;
}

std::vector<NodeName> MembershipSystem::readyNodes(const DataCenterName &dataCenter) const
{
    std::vector<NodeName> nodes;
    for (const auto &[name, peer] : peers_) {
        if (peer.address.dataCenter == dataCenter && isReady(peer)) {
            nodes.push_back(name);
        }
    }
    if (dataCenter == self_.dataCenter && selfState_ == NodeState::Ready) {
        nodes.insert(std::lower_bound(nodes.begin(), nodes.end(), self_.node), self_.node);
    }
    return nodes;
}

std::vector<DataCenterName> MembershipSystem::dataCenters() const
{
    std::set<DataCenterName> names;
    for (const auto &[name, peer] : peers_) {
        if (isReady(peer)) {
            names.insert(peer.address.dataCenter);
        }
    }
    if (selfState_ == NodeState::Ready) {
        names.insert(self_.dataCenter);
    }
    return std::vector<DataCenterName>(names.begin(), names.end());
}

std::optional<NodeName> MembershipSystem::schedulerFor(const ShardKey &shard) const
{
    const std::string subject =
        "shard " + shard.dataCenter.text() + " " + shard.pool.text() + " " + std::to_string(shard.index);
    const std::vector<NodeName> ordered = rendezvousOrder(readyNodes(shard.dataCenter), subject);
    return ordered.empty() ? std::nullopt : std::optional<NodeName>(ordered.front());
}

bool MembershipSystem::isDelegate() const
{
    const std::vector<NodeName> delegates = delegatesOf(self_.dataCenter);
    return std::find(delegates.begin(), delegates.end(), self_.node) != delegates.end();
}

std::vector<NodeName> MembershipSystem::delegatesOf(const DataCenterName &dataCenter) const
{
    std::vector<NodeName> ordered = rendezvousOrder(readyNodes(dataCenter), "delegate");
    ordered.resize(std::min(ordered.size(), DelegatesPerDataCenter));
    return ordered;
}

std::vector<NodeName> MembershipSystem::pushTargets() const
{
    std::vector<NodeName> targets;
    for (const auto &[name, peer] : peers_) {
        if (peer.alive && peer.address.dataCenter == self_.dataCenter) {
            targets.push_back(name);
        }
    }
    if (!fullMesh()) {
        targets.insert(targets.end(), remoteTargets_.begin(), remoteTargets_.end());
        return targets;
    }
    for (const DataCenterName &dataCenter : otherDataCenters()) {
        const std::vector<NodeName> heard = delegatesOf(dataCenter);
        if (!heard.empty()) {
            targets.push_back(heard.front());
        }
    }
    return targets;
}

const NodeAddress &MembershipSystem::self() const
{
    return self_;
}

bool MembershipSystem::fullMesh() const
{
    return peers_.size() + 1 <= FullMeshNodes;
}

Duration MembershipSystem::remoteSilenceLimit() const
{
    // Nodes that are no gateways hear of other data centres as often as of their own.
    return MissedHeartbeats * (fullMesh() ? HeartbeatPeriod : std::max(GatewayPeriod, localPeriod()));
}

Duration MembershipSystem::localPeriod() const
{
    if (fullMesh()) {
        return HeartbeatPeriod;
    }
    const Duration::rep peers = static_cast<Duration::rep>(localNodes().size());
    return std::max(HeartbeatPeriod, HeartbeatPeriod * peers / LocalHeartbeatsPerPeriod);
}

std::vector<NodeName> MembershipSystem::localNodes() const
{
    std::vector<NodeName> nodes;
    for (const auto &[name, peer] : peers_) {
        if (peer.address.dataCenter == self_.dataCenter) {
            nodes.push_back(name);
        }
    }
    return nodes;
}

void MembershipSystem::addCandidate(const NodeAddress &address, TimePoint now)
{
    if (address.node == self_.node) {
        return;
    }
    Peer *known = peers_.edit(address.node);
    if (known != nullptr && !address.meshAddress.empty()) {
        known->address = address;
    }
    if (known != nullptr) {
        return;
    }
    peers_.put(address.node, Peer { address, std::nullopt, now, false });
}

void MembershipSystem::setSelfState(NodeState state)
{
    const bool wasReady = selfState_ == NodeState::Ready;
    selfState_ = state;
    changed_ = changed_ || wasReady != (state == NodeState::Ready);
}

void MembershipSystem::markLost(const NodeName &name, Peer &peer)
{
    changed_ = changed_ || isReady(peer);
    peer.alive = false;
    lost_.push_back(name);
}

void MembershipSystem::expirePeers(TimePoint now)
{
    const Duration localLimit = MissedHeartbeats * localPeriod();
    const Duration remoteLimit = remoteSilenceLimit();
    for (auto &[name, peer] : peers_) {
        const Duration limit = peer.address.dataCenter == self_.dataCenter ? localLimit : remoteLimit;
        if (peer.alive && now - peer.lastHeard > limit) {
            markLost(name, peer);
        }
    }
    peers_.eraseIf([this, now](const NodeName &name, const Peer &peer) {
        const bool silent = !peer.alive && now - peer.lastHeard > ForgetAfter;
        return silent && seeds_.count(name) == 0 && listed_.count(name) == 0;
    });
}

bool MembershipSystem::announcementDue(const SelfDescription &self) const
{
    return announce_ || self.state != announcedState_ || self.ticketHead != announcedHead_;
}

Heartbeat MembershipSystem::makeHeartbeat(const SelfDescription &self)
{
    return Heartbeat { self_.node,      incarnation_,       self_.dataCenter, ++sequence_, self.state,
                       self.ticketHead, self.catalogDigest, self.storeEpoch,  self.pools };
}

void MembershipSystem::sendLocalHeartbeats(const SelfDescription &self, TimePoint now, Commands &commands)
{
    nextLocalHeartbeat_ = now + localPeriod();
    const Heartbeat heartbeat = makeHeartbeat(self);
    // Relayed heartbeats share a delivery with the own one, which costs more than they do.
    const std::vector<Heartbeat> relayed = relayedHeartbeats(now);
    for (const NodeName &node : localNodes()) {
        commands.push_back(PeerSend { node, heartbeat });
        for (const Heartbeat &remote : relayed) {
            commands.push_back(PeerSend { node, remote });
        }
    }
}

void MembershipSystem::sendRemoteHeartbeats(const SelfDescription &self, TimePoint now, Commands &commands)
{
    nextRemoteHeartbeat_ = now + (fullMesh() ? HeartbeatPeriod : GatewayPeriod);
    remoteTargets_.clear();
    if (fullMesh()) {
        for (const auto &[name, peer] : peers_) {
            if (peer.address.dataCenter != self_.dataCenter) {
                remoteTargets_.push_back(name);
            }
        }
    } else {
        const NodesByDataCenter alive = aliveNodes();
        for (const DataCenterName &dataCenter : otherDataCenters()) {
            const std::vector<NodeName> remote = remoteTargets(dataCenter, alive, now);
            remoteTargets_.insert(remoteTargets_.end(), remote.begin(), remote.end());
        }
    }
    const Heartbeat heartbeat = makeHeartbeat(self);
    for (const NodeName &node : remoteTargets_) {
        commands.push_back(PeerSend { node, heartbeat });
    }
}

std::vector<NodeName> MembershipSystem::remoteTargets(const DataCenterName &dataCenter,
                                                      const NodesByDataCenter &alive,
                                                      TimePoint now)
{
    const std::size_t rank = gatewayRank(dataCenter, alive);
    if (rank >= GatewaysPerDataCenter) {
        searches_.erase(dataCenter);
        return {};
    }
    const NodesByDataCenter::const_iterator heard = alive.find(dataCenter);
    if (heard == alive.end()) {
        return searchTargets(dataCenter, now);
    }
    // Gateways of equal rank talk to each other, so that a link has two independent pairs.
    const std::vector<NodeName> gateways =
        gatewaysFor(self_.dataCenter, dataCenter, heard->second, GatewaysPerDataCenter);
    return { gateways[std::min(rank, gateways.size() - 1)] };
}

std::vector<NodeName> MembershipSystem::searchTargets(const DataCenterName &dataCenter, TimePoint now)
{
    std::vector<NodeName> candidates;
    for (const auto &[name, peer] : peers_) {
        if (peer.address.dataCenter == dataCenter) {
            candidates.push_back(name);
        }
    }
    candidates = gatewaysFor(self_.dataCenter, dataCenter, candidates, candidates.size());
    // The first ones are the gateways there unless they are gone and still listed, so that another one is tried in turn
    // beside them.
    std::vector<NodeName> targets(
        candidates.begin(),
        candidates.begin() + static_cast<std::ptrdiff_t>(std::min(GatewaysPerDataCenter, candidates.size())));
    const std::size_t others = candidates.size() - targets.size();
    Search *search = searches_.edit(dataCenter);
    if (search == nullptr) {
        search = &searches_.put(dataCenter, Search {});
    }
    if (others > 0) {
        targets.push_back(candidates[targets.size() + search->offset % others]);
    }
    if (now >= search->next) {
        *search = Search { search->offset + 1, now + GatewayPeriod };
    }
    return targets;
}

MembershipSystem::NodesByDataCenter MembershipSystem::aliveNodes() const
{
    NodesByDataCenter nodes;
    nodes[self_.dataCenter].push_back(self_.node);
    for (const auto &[name, peer] : peers_) {
        if (peer.alive) {
            nodes[peer.address.dataCenter].push_back(name);
        }
    }
    return nodes;
}

std::size_t MembershipSystem::gatewayRank(const DataCenterName &dataCenter, const NodesByDataCenter &alive) const
{
    const std::vector<NodeName> gateways =
        gatewaysFor(self_.dataCenter, dataCenter, alive.at(self_.dataCenter), GatewaysPerDataCenter);
    const std::vector<NodeName>::const_iterator found = std::find(gateways.begin(), gateways.end(), self_.node);
    return found == gateways.end() ? GatewaysPerDataCenter : static_cast<std::size_t>(found - gateways.begin());
}

std::vector<DataCenterName> MembershipSystem::otherDataCenters() const
{
    std::set<DataCenterName> names;
    for (const auto &[name, peer] : peers_) {
        if (peer.address.dataCenter != self_.dataCenter) {
            names.insert(peer.address.dataCenter);
        }
    }
    return std::vector<DataCenterName>(names.begin(), names.end());
}

std::vector<Heartbeat> MembershipSystem::relayedHeartbeats(TimePoint now) const
{
    std::vector<Heartbeat> relayed;
    if (fullMesh()) {
        return relayed;
    }
    const NodesByDataCenter alive = aliveNodes();
    for (const auto &[dataCenter, nodes] : alive) {
        if (dataCenter == self_.dataCenter || gatewayRank(dataCenter, alive) != 0) {
            continue;
        }
        const Peer &remote = *peers_.find(gatewaysFor(self_.dataCenter, dataCenter, nodes, 1).front());
        if (now - remote.lastHeard > MissedHeartbeats * GatewayPeriod) {
            continue;
        }
        relayed.push_back(*remote.heartbeat);
        // Seat counts of other data centres change faster than they could be relayed.
        relayed.back().pools.clear();
    }
    return relayed;
}

} // namespace GeraniumLever
