#include "servers/membership/membership_system.h"

#include <algorithm>

#include "servers/membership/heartbeat_plan.h"
#include "servers/membership/rendezvous.h"

namespace GeraniumLever {

namespace {

constexpr Duration HeartbeatPeriod = std::chrono::seconds(1);
constexpr Duration SilenceLimit = 3 * HeartbeatPeriod;
/** In a large fleet, nodes that are no gateways learn of other data centres only this often. */
constexpr Duration RelayPeriod = std::chrono::seconds(5);
constexpr Duration RelayedSilenceLimit = 3 * RelayPeriod;
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
    if (heartbeatDue(self, now)) {
        sendHeartbeats(self, now, commands);
    }
    if (!fullMesh() && now >= nextRelay_) {
        nextRelay_ = now + RelayPeriod;
        relayRemoteHeartbeats(now, commands);
    }
}

void MembershipSystem::announceNow()
{
    nextHeartbeat_ = TimePoint();
}

std::vector<NodeName> MembershipSystem::takeLost()
{
    std::vector<NodeName> lost;
    lost.swap(lost_);
    return lost;
}

bool MembershipSystem::takeChanged()
{
    const bool changed = changed_;
    changed_ = false;
    return changed;
}

std::vector<NodeAddress> MembershipSystem::knownPeers() const
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
    for (const DataCenterName &dataCenter : otherDataCenters()) {
        std::vector<NodeName> heard = delegatesOf(dataCenter);
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

Duration MembershipSystem::silenceLimit(const Peer &peer) const
{
    const bool relayed = !fullMesh() && peer.address.dataCenter != self_.dataCenter;
    return relayed ? RelayedSilenceLimit : SilenceLimit;
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
    for (auto &[name, peer] : peers_) {
        if (peer.alive && now - peer.lastHeard > silenceLimit(peer)) {
            markLost(name, peer);
        }
    }
    peers_.eraseIf([this, now](const NodeName &name, const Peer &peer) {
        const bool silent = !peer.alive && now - peer.lastHeard > ForgetAfter;
        return silent && seeds_.count(name) == 0 && listed_.count(name) == 0;
    });
}

bool MembershipSystem::heartbeatDue(const SelfDescription &self, TimePoint now) const
{
    return now >= nextHeartbeat_ || self.state != announcedState_ || self.ticketHead != announcedHead_;
}

void MembershipSystem::sendHeartbeats(const SelfDescription &self, TimePoint now, Commands &commands)
{
    nextHeartbeat_ = now + HeartbeatPeriod;
    announcedState_ = self.state;
    announcedHead_ = self.ticketHead;
    const Heartbeat heartbeat { self_.node,      incarnation_,       self_.dataCenter, ++sequence_, self.state,
                                self.ticketHead, self.catalogDigest, self.storeEpoch,  self.pools };
    for (const NodeName &target : heartbeatTargets(now)) {
        commands.push_back(PeerSend { target, heartbeat });
    }
}

std::vector<NodeName> MembershipSystem::heartbeatTargets(TimePoint now)
{
    const bool everybody = fullMesh();
    std::vector<NodeName> targets;
    for (const auto &[name, peer] : peers_) {
        if (everybody || peer.address.dataCenter == self_.dataCenter) {
            targets.push_back(name);
        }
    }
    remoteTargets_.clear();
    if (everybody) {
        return targets;
    }
    const NodesByDataCenter alive = aliveNodes();
    for (const DataCenterName &dataCenter : otherDataCenters()) {
        const std::vector<NodeName> remote = remoteTargets(dataCenter, alive, now);
        remoteTargets_.insert(remoteTargets_.end(), remote.begin(), remote.end());
    }
    targets.insert(targets.end(), remoteTargets_.begin(), remoteTargets_.end());
    return targets;
}

std::vector<NodeName> MembershipSystem::remoteTargets(const DataCenterName &dataCenter,
                                                      const NodesByDataCenter &alive,
                                                      TimePoint now)
{
    if (gatewayRank(dataCenter, alive) >= GatewaysPerDataCenter) {
        searches_.erase(dataCenter);
        return {};
    }
    const NodesByDataCenter::const_iterator heard = alive.find(dataCenter);
    if (heard == alive.end()) {
        return searchTargets(dataCenter, now);
    }
    return gatewaysFor(self_.dataCenter, dataCenter, heard->second, GatewaysPerDataCenter);
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
    // The first ones may be gone and still be listed, so that the next ones are tried in turn.
    Search *search = searches_.edit(dataCenter);
    if (search == nullptr) {
        search = &searches_.put(dataCenter, Search { 0, now + SilenceLimit });
    } else if (now >= search->next) {
        *search = Search { search->offset + GatewaysPerDataCenter, now + SilenceLimit };
    }
    std::vector<NodeName> targets;
    const std::size_t count = std::min(GatewaysPerDataCenter, candidates.size());
    for (std::size_t index = 0; index < count; ++index) {
        targets.push_back(candidates[(search->offset + index) % candidates.size()]);
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

void MembershipSystem::relayRemoteHeartbeats(TimePoint now, Commands &commands)
{
    const NodesByDataCenter alive = aliveNodes();
    for (const auto &[dataCenter, nodes] : alive) {
        if (dataCenter == self_.dataCenter || gatewayRank(dataCenter, alive) != 0) {
            continue;
        }
        const Peer &remote = *peers_.find(gatewaysFor(self_.dataCenter, dataCenter, nodes, 1).front());
        if (now - remote.lastHeard > SilenceLimit) {
            continue;
        }
        // Seat counts of other data centres change faster than they could be relayed.
        Heartbeat relayed = *remote.heartbeat;
        relayed.pools.clear();
        for (const NodeName &local : alive.at(self_.dataCenter)) {
            if (local != self_.node) {
                commands.push_back(PeerSend { local, relayed });
            }
        }
    }
}

} // namespace GeraniumLever
