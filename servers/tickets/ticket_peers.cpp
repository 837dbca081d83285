#include "servers/tickets/ticket_peers.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** A fetch without answer for this long is sent to the next peer that offers. */
constexpr Duration FetchTimeout = std::chrono::seconds(1);
constexpr Duration RepairPause = std::chrono::seconds(5);
constexpr Duration StandingLifetime = std::chrono::seconds(3);
/** A node that lacks more tickets than this gets a snapshot instead. */
constexpr std::size_t MaxTicketsToCatchUp = 200;

} // namespace

TicketPeers::TicketPeers(NodeName self, TicketApplier &applier, TicketFollower &follower)
    : self_(std::move(self)), applier_(applier), follower_(follower)
{
}

void TicketPeers::heartbeatReceived(const Heartbeat &heartbeat, TimePoint now, Commands &commands)
{
    if (heartbeat.node == self_ || contradicts(heartbeat.storeEpoch, heartbeat.node, now, commands)) {
        return;
    }
    if (heartbeat.state != NodeState::Starting) {
        firstReadyHeard_ = readyPeersSince(now).value_or(now);
        lastReadyHeard_ = now;
    }
    standings_.put(heartbeat.node, Standing { heartbeat.ticketHead, heartbeat.catalogDigest, now });
    forgetSilent(now);
    highestHeard_ = std::max(highestHeard_, heartbeat.ticketHead);
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
        if (contradicts(record.epoch, from, now, commands)) {
            return;
        }
        highestHeard_ = std::max(highestHeard_, record.number);
        const Applied applied = applier_.apply(record, from.text(), commands);
        if (applied == Applied::Gap) {
            fetchFrom(from, now, commands);
            return;
        }
        if (applied != Applied::Done && applied != Applied::AlreadyApplied) {
            return;
        }
    }
    const Standing *standing = standings_.find(from);
    if (!batch.tickets.empty() && standing != nullptr && standing->head > applier_.chain().head()) {
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
    if (contradicts(snapshot.epoch, from, now, commands)) {
        return;
    }
    if (snapshot.head > applier_.chain().head()) {
        highestHeard_ = std::max(highestHeard_, snapshot.head);
        applier_.install(snapshot, from.text(), commands);
        return;
    }
    if (!repairDigest_.has_value() || snapshot.head != applier_.chain().head()) {
        return;
    }
    TicketChain other;
    if (other.install(snapshot) == Applied::Done && other.digest() == *repairDigest_) {
        applier_.repairFrom(other, from.text(), commands);
    }
    repairDigest_.reset();
}

std::optional<TimePoint> TicketPeers::readyPeersSince(TimePoint now) const
{
    return now - lastReadyHeard_ <= StandingLifetime ? firstReadyHeard_ : std::nullopt;
}

void TicketPeers::tick(bool push, const std::vector<NodeName> &pushTo, Commands &commands)
{
    const TicketNumber head = applier_.chain().head();
    if (head == pushedHead_) {
        return;
    }
    const std::optional<std::vector<TicketRecord>> records = applier_.chain().recordsAfter(pushedHead_);
    pushedHead_ = head;
    // Whoever misses a push hears of the head in a heartbeat and asks.
    if (!push || !records.has_value() || records->empty()) {
        return;
    }
    for (const NodeName &node : pushTo) {
        if (node != self_) {
            commands.push_back(PeerSend { node, TicketBatch { *records } });
        }
    }
}

void TicketPeers::fetchFrom(const NodeName &peer, TimePoint now, Commands &commands)
{
    if (fetch_.has_value() && now - fetch_->since < FetchTimeout) {
        return;
    }
    fetch_ = Fetch { peer, now };
    commands.push_back(PeerSend { peer, TicketFetch { applier_.chain().head() } });
}

bool TicketPeers::contradicts(StoreEpoch epoch, const NodeName &peer, TimePoint now, Commands &commands)
{
    if (!applier_.epochMismatches(epoch, peer.text(), now, commands)) {
        return false;
    }
    lastEpochMismatch_ = now;
    return true;
}

void TicketPeers::compareDigests(const Heartbeat &heartbeat, TimePoint now, Commands &commands)
{
    const std::uint64_t own = applier_.chain().digest();
    if (heartbeat.catalogDigest == own) {
        return;
    }
    applier_.digestMismatch(heartbeat.node, commands);
    const std::size_t ownVotes = votesFor(own, now) + 1;
    const std::size_t otherVotes = votesFor(heartbeat.catalogDigest, now);
    if (ownVotes > otherVotes || now < nextRepair_) {
        return;
    }
    nextRepair_ = now + RepairPause;
    if (ownVotes == otherVotes) {
        // Only the table service can tell who is right.
        follower_.startRepair();
        return;
    }
    repairDigest_ = heartbeat.catalogDigest;
    commands.push_back(PeerSend { heartbeat.node, SnapshotFetch {} });
}

std::size_t TicketPeers::votesFor(std::uint64_t digest, TimePoint now) const
{
    std::size_t votes = 0;
    for (const auto &[node, standing] : standings_) {
        const bool current = now - standing.heard <= StandingLifetime && standing.head == applier_.chain().head();
        votes += current && standing.digest == digest ? 1 : 0;
    }
    return votes;
}

void TicketPeers::forgetSilent(TimePoint now)
{
    standings_.eraseIf(
        [now](const NodeName &, const Standing &standing) { return now - standing.heard > StandingLifetime; });
}

} // namespace GeraniumLever
