#include "drivers/mesh/message_codec.h"

namespace GeraniumLever {

namespace {

kj::StringPtr textOf(const std::string &text)
{
    return kj::StringPtr(text.c_str(), text.size());
}

template<typename Tag>
kj::StringPtr textOf(const Name<Tag> &name)
{
    return textOf(name.text());
}

template<typename Tag>
void write(const UniqueId<Tag> &id, Wire::UniqueId::Builder builder)
{
    builder.setOrigin(id.origin());
    builder.setSequence(id.sequence());
}

void write(const std::optional<Duration> &duration, Wire::OptionalDuration::Builder builder)
{
    if (!duration) {
        builder.setAbsent();
        return;
    }
    builder.setMicroseconds(duration->count());
}

void write(const ShardKey &shard, Wire::ShardKey::Builder builder)
{
    builder.setDataCenter(textOf(shard.dataCenter));
    builder.setPool(textOf(shard.pool));
    builder.setIndex(shard.index);
}

void write(const PoolSummary &summary, Wire::PoolSummary::Builder builder)
{
    builder.setPool(textOf(summary.pool));
    builder.setFreeSeats(summary.freeSeats);
    builder.setTotalSeats(summary.totalSeats);
    capnp::List<std::int64_t>::Builder waits = builder.initWaitByTierMicroseconds(summary.waitByTier.size());
    for (std::size_t tier = 0; tier < summary.waitByTier.size(); ++tier) {
        waits.set(tier, summary.waitByTier[tier].count());
    }
}

void write(const Heartbeat &heartbeat, Wire::Heartbeat::Builder builder)
{
    builder.setNode(textOf(heartbeat.node));
    builder.setIncarnation(heartbeat.incarnation.value());
    builder.setDataCenter(textOf(heartbeat.dataCenter));
    builder.setSequence(heartbeat.sequence);
    builder.setState(static_cast<Wire::NodeState>(heartbeat.state));
    builder.setTicketHead(heartbeat.ticketHead.value());
    builder.setCatalogDigest(heartbeat.catalogDigest);
    builder.setStoreEpoch(heartbeat.storeEpoch.value());
    capnp::List<Wire::PoolSummary>::Builder pools = builder.initPools(heartbeat.pools.size());
    for (std::size_t index = 0; index < heartbeat.pools.size(); ++index) {
        write(heartbeat.pools[index], pools[index]);
    }
}

void write(const SlotRequest &request, Wire::SlotRequest::Builder builder)
{
    write(request.request, builder.initRequest());
    write(request.shard, builder.initShard());
    builder.setRequestClass(textOf(request.requestClass));
    builder.setTeam(textOf(request.team));
    builder.setTimeLeftMicroseconds(request.timeLeft.count());
    builder.setPromptTokens(request.promptTokens);
    builder.setMaxTokens(request.maxTokens);
    builder.setDeliveredTokens(request.deliveredTokens);
    capnp::List<std::uint64_t>::Builder hashes = builder.initPrefixHashes(request.prefixHashes.size());
    for (std::size_t index = 0; index < request.prefixHashes.size(); ++index) {
        hashes.set(index, request.prefixHashes[index]);
    }
    capnp::List<capnp::Text>::Builder excluded = builder.initExcluded(request.excluded.size());
    for (std::size_t index = 0; index < request.excluded.size(); ++index) {
        excluded.set(index, textOf(request.excluded[index]));
    }
    builder.setRetry(request.retry);
    builder.setResumesPaused(request.resumesPaused);
}

void write(const SlotGrant &grant, Wire::SlotGrant::Builder builder)
{
    write(grant.request, builder.initRequest());
    write(grant.attempt, builder.initAttempt());
    builder.setUpstream(textOf(grant.upstream));
    write(grant.shard, builder.initShard());
}

void write(const SlotRefusal &refusal, Wire::SlotRefusal::Builder builder)
{
    write(refusal.request, builder.initRequest());
    write(refusal.shard, builder.initShard());
    builder.setCode(static_cast<std::uint16_t>(refusal.code));
    builder.setRetryAfterMicroseconds(refusal.retryAfter.count());
}

void write(const SlotCancel &cancel, Wire::SlotCancel::Builder builder)
{
    write(cancel.request, builder.initRequest());
    write(cancel.shard, builder.initShard());
}

void write(const AttemptProgress &progress, Wire::AttemptProgress::Builder builder)
{
    write(progress.attempt, builder.initAttempt());
    write(progress.shard, builder.initShard());
    builder.setUpstream(textOf(progress.upstream));
    write(progress.firstToken, builder.initFirstToken());
    builder.setTokens(progress.tokens);
    builder.setReaderSlow(progress.readerSlow);
}

void write(const AttemptEnd &end, Wire::AttemptEnd::Builder builder)
{
    write(end.attempt, builder.initAttempt());
    write(end.request, builder.initRequest());
    write(end.shard, builder.initShard());
    builder.setUpstream(textOf(end.upstream));
    builder.setEnding(static_cast<Wire::AttemptEnding>(end.ending));
    write(end.firstToken, builder.initFirstToken());
    builder.setTokens(end.tokens);
    builder.setWastedTokens(end.wastedTokens);
    builder.setReaderSlow(end.readerSlow);
}

void write(const AttemptRegistration &registration, Wire::AttemptRegistration::Builder builder)
{
    write(registration.attempt, builder.initAttempt());
    write(registration.request, builder.initRequest());
    write(registration.shard, builder.initShard());
    builder.setUpstream(textOf(registration.upstream));
    builder.setRequestClass(textOf(registration.requestClass));
    builder.setTeam(textOf(registration.team));
    builder.setPromptTokens(registration.promptTokens);
    builder.setTokens(registration.tokens);
    builder.setAgeMicroseconds(registration.age.count());
}

void write(const AttemptPause &pause, Wire::AttemptPause::Builder builder)
{
    write(pause.attempt, builder.initAttempt());
    write(pause.request, builder.initRequest());
}

void write(const LeavingNotice &notice, Wire::LeavingNotice::Builder builder)
{
    builder.setUpstream(textOf(notice.upstream));
    builder.setLeaving(notice.leaving);
}

void write(const TicketRecord &record, Wire::TicketRecord::Builder builder)
{
    builder.setNumber(record.number.value());
    builder.setPrevious(record.previous.value());
    builder.setEpoch(record.epoch.value());
    builder.setText(textOf(record.text));
}

void write(const TicketBatch &batch, Wire::TicketBatch::Builder builder)
{
    capnp::List<Wire::TicketRecord>::Builder tickets = builder.initTickets(batch.tickets.size());
    for (std::size_t index = 0; index < batch.tickets.size(); ++index) {
        write(batch.tickets[index], tickets[index]);
    }
}

void write(const TicketFetch &fetch, Wire::TicketFetch::Builder builder)
{
    builder.setAfter(fetch.after.value());
}

void write(const Snapshot &snapshot, Wire::Snapshot::Builder builder)
{
    builder.setHead(snapshot.head.value());
    builder.setEpoch(snapshot.epoch.value());
    builder.setText(textOf(snapshot.text));
}

void write(const ClaimQuery &query, Wire::ClaimQuery::Builder builder)
{
    builder.setClaimKey(textOf(query.claimKey));
    write(query.attempt, builder.initAttempt());
}

void write(const ClaimReply &reply, Wire::ClaimReply::Builder builder)
{
    builder.setClaimKey(textOf(reply.claimKey));
    write(reply.attempt, builder.initAttempt());
    builder.setStanding(static_cast<Wire::ClaimStanding>(reply.standing));
}

/** Visitor that writes the union member for the message's type. */
struct MessageWriter
{
    Wire::Message::Builder builder;

    void operator()(const Heartbeat &message) { write(message, builder.initHeartbeat()); }
    void operator()(const SlotRequest &message) { write(message, builder.initSlotRequest()); }
    void operator()(const SlotGrant &message) { write(message, builder.initSlotGrant()); }
    void operator()(const SlotRefusal &message) { write(message, builder.initSlotRefusal()); }
    void operator()(const SlotCancel &message) { write(message, builder.initSlotCancel()); }
    void operator()(const AttemptProgress &message) { write(message, builder.initAttemptProgress()); }
    void operator()(const AttemptEnd &message) { write(message, builder.initAttemptEnd()); }
    void operator()(const AttemptRegistration &message) { write(message, builder.initAttemptRegistration()); }
    void operator()(const AttemptPause &message) { write(message, builder.initAttemptPause()); }
    void operator()(const LeavingNotice &message) { write(message, builder.initLeavingNotice()); }
    void operator()(const TicketBatch &message) { write(message, builder.initTicketBatch()); }
    void operator()(const TicketFetch &message) { write(message, builder.initTicketFetch()); }
    void operator()(const SnapshotFetch &) { builder.setSnapshotFetch(); }
    void operator()(const Snapshot &message) { write(message, builder.initSnapshot()); }
    void operator()(const ClaimQuery &message) { write(message, builder.initClaimQuery()); }
    void operator()(const ClaimReply &message) { write(message, builder.initClaimReply()); }
};

} // namespace

void writeMessage(const PeerMessage &message, Wire::Message::Builder builder)
{
    std::visit(MessageWriter { builder }, message);
}

} // namespace GeraniumLever
