#include "servers/tickets/ticket_peers.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** If a fetch is not answered within this time, the next peer with a higher head is asked. */
constexpr Duration FetchTimeout = std::chrono::seconds(1);
constexpr Duration MinRepairInterval = std::chrono::seconds(5);
constexpr Duration PeerStateLifetime = std::chrono::seconds(3);
/** A node that lacks more tickets than this gets a snapshot instead of the tickets. */
constexpr std::size_t MaxTicketsToCatchUp = 200;

} // namespace

TicketPeers::TicketPeers(NodeName self, TicketApplier &applier, TicketFollower &follower)
    : self_(std::move(self)), applier_(applier), follower_(follower)
{
}

void TicketPeers::heartbeatReceived(const Heartbeat &heartbeat, TimePoint now, Commands &commands)
{
    if (heartbeat.node == self_ || hasEpochMismatch(heartbeat.storeEpoch, heartbeat.node, now, commands)) {
        return;
    }
    if (heartbeat.state != NodeState::Starting) {
        readyPeersSince_ = readyPeersSince(now).value_or(now);
        lastReadyHeartbeat_ = now;
    }
    peerStates_.put(heartbeat.node, PeerCatalogState { heartbeat.ticketHead, heartbeat.catalogDigest, now });
    removeExpiredPeerStates(now);
    highestPeerHead_ = std::max(highestPeerHead_, heartbeat.ticketHead);
    if (heartbeat.ticketHead > applier_.chain().head()) {
        fetchFrom(heartbeat.node, now, commands);
        return;
    }
    if (heartbeat.ticketHead == applier_.chain().head()) {
        compareDigests(heartbeat, now, commands);
    }
}

void TicketPeers::batchReceived(const NodeName &from, const TicketBatch &batch, TimePoint now, Commands &commands)
{
    if (fetch_.has_value() && fetch_->peer == from) {
        fetch_.reset();
    }
    for (const TicketRecord &record : batch.tickets) {
        if (hasEpochMismatch(record.epoch, from, now, commands)) {
            return;
        }
        highestPeerHead_ = std::max(highestPeerHead_, record.number);
        const ApplyResult applyResult = applier_.apply(record, from.text(), commands);
        if (applyResult == ApplyResult::Gap) {
            fetchFrom(from, now, commands);
            return;
        }
        if (applyResult != ApplyResult::Done && applyResult != ApplyResult::AlreadyApplied) {
            return;
        }
    }
    const PeerCatalogState *peerState = peerStates_.find(from);
    if (!batch.tickets.empty() && peerState != nullptr && peerState->head > applier_.chain().head()) {
        fetchFrom(from, now, commands);
    }
}

void TicketPeers::fetchReceived(const NodeName &from, const TicketFetch &fetch, Commands &commands) const
{
    const std::optional<std::vector<TicketRecord>> records = applier_.chain().recordsAfter(fetch.after);
    if (!records.has_value() || applier_.chain().countAfter(fetch.after) > MaxTicketsToCatchUp) {
        snapshotRequested(from, commands);
        return;
    }
    if (!records->empty()) {
        commands.push_back(PeerSend { from, TicketBatch { *records } });
    }
}

void TicketPeers::snapshotRequested(const NodeName &from, Commands &commands) const
{
    commands.push_back(PeerSend { from, applier_.chain().snapshot() });
}

void TicketPeers::snapshotReceived(const NodeName &from, const Snapshot &snapshot, TimePoint now, Commands &commands)
{
    if (fetch_.has_value() && fetch_->peer == from) {
        fetch_.reset();
    }
    if (hasEpochMismatch(snapshot.epoch, from, now, commands)) {
        return;
    }
    if (snapshot.head > applier_.chain().head()) {
        highestPeerHead_ = std::max(highestPeerHead_, snapshot.head);
        applier_.install(snapshot, from.text(), commands);
        return;
    }
    if (!repairDigest_.has_value() || snapshot.head != applier_.chain().head()) {
        return;
    }
    TicketChain other;
    if (other.install(snapshot) == ApplyResult::Done && other.digest() == *repairDigest_) {
        applier_.repairFrom(other, from.text(), commands);
    }
    repairDigest_.reset();
}

std::optional<TimePoint> TicketPeers::readyPeersSince(TimePoint now) const
{
    return now - lastReadyHeartbeat_ <= PeerStateLifetime ? readyPeersSince_ : std::nullopt;
}

void TicketPeers::tick(bool push, const std::vector<NodeName> &targets, Commands &commands)
{
    const TicketNumber head = applier_.chain().head();
    if (head == pushedHead_) {
        return;
    }
    const std::optional<std::vector<TicketRecord>> records = applier_.chain().recordsAfter(pushedHead_);
    pushedHead_ = head;
    // A node that misses a push learns of the head from a heartbeat and fetches the tickets.
    if (!push || !records.has_value() || records->empty()) {
        return;
    }
    for (const NodeName &node : targets) {
        if (node != self_) {
            commands.push_back(PeerSend { node, TicketBatch { *records } });
        }
    }
}

void TicketPeers::fetchFrom(const NodeName &peer, TimePoint now, Commands &commands)
{
    if (fetch_.has_value() && now - fetch_->sentAt < FetchTimeout) {
        return;
    }
    fetch_ = Fetch { peer, now };
    commands.push_back(PeerSend { peer, TicketFetch { applier_.chain().head() } });
}

bool TicketPeers::hasEpochMismatch(StoreEpoch epoch, const NodeName &peer, TimePoint now, Commands &commands)
{
    if (!applier_.detectEpochMismatch(epoch, peer.text(), now, commands)) {
        return false;
    }
    lastEpochMismatch_ = now;
    return true;
}

void TicketPeers::compareDigests(const Heartbeat &heartbeat, TimePoint now, Commands &commands)
{
    const std::uint64_t ownDigest = applier_.chain().digest();
    if (heartbeat.catalogDigest == ownDigest) {
        return;
    }
    applier_.reportDigestMismatch(heartbeat.node, commands);
    const std::size_t ownVotes = votesFor(ownDigest, now) + 1;
    const std::size_t otherVotes = votesFor(heartbeat.catalogDigest, now);
    if (ownVotes > otherVotes || now < nextRepair_) {
        return;
    }
    nextRepair_ = now + MinRepairInterval;
    if (ownVotes == otherVotes) {
        // The votes are equal, so the table service decides.
        follower_.startRepair();
        return;
    }
    repairDigest_ = heartbeat.catalogDigest;
    commands.push_back(PeerSend { heartbeat.node, SnapshotFetch {} });
}

std::size_t TicketPeers::votesFor(std::uint64_t digest, TimePoint now) const
{
    std::size_t votes = 0;
    for (const auto &[node, peerState] : peerStates_) {
        const bool current =
            now - peerState.receivedAt <= PeerStateLifetime && peerState.head == applier_.chain().head();
        votes += current && peerState.digest == digest ? 1 : 0;
    }
    return votes;
}

void TicketPeers::removeExpiredPeerStates(TimePoint now)
{
    peerStates_.eraseIf([now](const NodeName &, const PeerCatalogState &peerState) {
        return now - peerState.receivedAt > PeerStateLifetime;
    });
}

} // namespace GeraniumLever
