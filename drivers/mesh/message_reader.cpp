#include "drivers/mesh/message_codec.h"

namespace GeraniumLever {

namespace {

std::string textOf(capnp::Text::Reader text)
{
    return std::string(text.begin(), text.size());
}

template<typename Tag>
void read(capnp::Text::Reader text, Name<Tag> &name)
{
    name = Name<Tag>(textOf(text));
}

template<typename Tag>
void read(Wire::UniqueId::Reader reader, UniqueId<Tag> &id)
{
    id = UniqueId<Tag>(reader.getOrigin(), reader.getSequence());
}

void read(Wire::ShardKey::Reader reader, ShardKey &shard)
{
    read(reader.getDataCenter(), shard.dataCenter);
    read(reader.getPool(), shard.pool);
    shard.index = reader.getIndex();
}

void read(Wire::OptionalDuration::Reader reader, std::optional<Duration> &duration)
{
    if (reader.isMicroseconds()) {
        duration = Duration(reader.getMicroseconds());
    }
}

/** Converts a schema enumerator. Returns false if it lies beyond `last`, the last one known to this version. */
template<typename WireEnum, typename Enum>
bool readEnum(WireEnum wireValue, Enum last, Enum &value)
{
    if (static_cast<std::uint16_t>(wireValue) > static_cast<std::uint16_t>(last)) {
        return false;
    }
    value = static_cast<Enum>(wireValue);
    return true;
}

PoolSummary readSummary(Wire::PoolSummary::Reader reader)
{
    PoolSummary summary;
    read(reader.getPool(), summary.pool);
    summary.freeSeats = reader.getFreeSeats();
    summary.totalSeats = reader.getTotalSeats();
    for (std::int64_t wait : reader.getWaitByTierMicroseconds()) {
        summary.waitByTier.emplace_back(wait);
    }
    return summary;
}

std::optional<PeerMessage> readHeartbeat(Wire::Message::Reader message)
{
    Wire::Heartbeat::Reader reader = message.getHeartbeat();
    Heartbeat heartbeat;
    if (!readEnum(reader.getState(), NodeState::Leaving, heartbeat.state)) {
        return std::nullopt;
    }
    read(reader.getNode(), heartbeat.node);
    heartbeat.incarnation = Incarnation(reader.getIncarnation());
    read(reader.getDataCenter(), heartbeat.dataCenter);
    heartbeat.sequence = reader.getSequence();
    heartbeat.ticketHead = TicketNumber(reader.getTicketHead());
    heartbeat.catalogDigest = reader.getCatalogDigest();
    heartbeat.storeEpoch = StoreEpoch(reader.getStoreEpoch());
    for (Wire::PoolSummary::Reader summary : reader.getPools()) {
        heartbeat.pools.push_back(readSummary(summary));
    }
    return heartbeat;
}

std::optional<PeerMessage> readSlotRequest(Wire::Message::Reader message)
{
    Wire::SlotRequest::Reader reader = message.getSlotRequest();
    SlotRequest request;
    read(reader.getRequest(), request.request);
    read(reader.getShard(), request.shard);
    read(reader.getRequestClass(), request.requestClass);
    read(reader.getTeam(), request.team);
    request.timeLeft = Duration(reader.getTimeLeftMicroseconds());
    request.promptTokens = reader.getPromptTokens();
    request.maxTokens = reader.getMaxTokens();
    request.deliveredTokens = reader.getDeliveredTokens();
    for (std::uint64_t hash : reader.getPrefixHashes()) {
        request.prefixHashes.push_back(hash);
    }
    for (capnp::Text::Reader name : reader.getExcluded()) {
        request.excluded.emplace_back(textOf(name));
    }
    request.retry = reader.getRetry();
    request.resumesPaused = reader.getResumesPaused();
    return request;
}

std::optional<PeerMessage> readSlotGrant(Wire::Message::Reader message)
{
    Wire::SlotGrant::Reader reader = message.getSlotGrant();
    SlotGrant grant;
    read(reader.getRequest(), grant.request);
    read(reader.getAttempt(), grant.attempt);
    read(reader.getUpstream(), grant.upstream);
    read(reader.getShard(), grant.shard);
    return grant;
}

std::optional<PeerMessage> readSlotRefusal(Wire::Message::Reader message)
{
    Wire::SlotRefusal::Reader reader = message.getSlotRefusal();
    SlotRefusal refusal;
    read(reader.getRequest(), refusal.request);
    read(reader.getShard(), refusal.shard);
    refusal.code = static_cast<ResultCode>(reader.getCode());
    refusal.retryAfter = Duration(reader.getRetryAfterMicroseconds());
    return refusal;
}

std::optional<PeerMessage> readSlotCancel(Wire::Message::Reader message)
{
    SlotCancel cancel;
    read(message.getSlotCancel().getRequest(), cancel.request);
    read(message.getSlotCancel().getShard(), cancel.shard);
    return cancel;
}

std::optional<PeerMessage> readAttemptProgress(Wire::Message::Reader message)
{
    Wire::AttemptProgress::Reader reader = message.getAttemptProgress();
    AttemptProgress progress;
    read(reader.getAttempt(), progress.attempt);
    read(reader.getShard(), progress.shard);
    read(reader.getUpstream(), progress.upstream);
    read(reader.getFirstToken(), progress.firstToken);
    progress.tokens = reader.getTokens();
    progress.readerSlow = reader.getReaderSlow();
    return progress;
}

std::optional<PeerMessage> readAttemptEnd(Wire::Message::Reader message)
{
    Wire::AttemptEnd::Reader reader = message.getAttemptEnd();
    AttemptEnd end;
    if (!readEnum(reader.getEnding(), AttemptEnding::NotSent, end.ending)) {
        return std::nullopt;
    }
    read(reader.getAttempt(), end.attempt);
    read(reader.getRequest(), end.request);
    read(reader.getShard(), end.shard);
    read(reader.getUpstream(), end.upstream);
    read(reader.getFirstToken(), end.firstToken);
    end.tokens = reader.getTokens();
    end.wastedTokens = reader.getWastedTokens();
    end.readerSlow = reader.getReaderSlow();
    return end;
}

std::optional<PeerMessage> readAttemptRegistration(Wire::Message::Reader message)
{
    Wire::AttemptRegistration::Reader reader = message.getAttemptRegistration();
    AttemptRegistration registration;
    read(reader.getAttempt(), registration.attempt);
    read(reader.getRequest(), registration.request);
    read(reader.getShard(), registration.shard);
    read(reader.getUpstream(), registration.upstream);
    read(reader.getRequestClass(), registration.requestClass);
    read(reader.getTeam(), registration.team);
    registration.promptTokens = reader.getPromptTokens();
    registration.tokens = reader.getTokens();
    registration.age = Duration(reader.getAgeMicroseconds());
    return registration;
}

std::optional<PeerMessage> readAttemptPause(Wire::Message::Reader message)
{
    AttemptPause pause;
    read(message.getAttemptPause().getAttempt(), pause.attempt);
    read(message.getAttemptPause().getRequest(), pause.request);
    return pause;
}

std::optional<PeerMessage> readLeavingNotice(Wire::Message::Reader message)
{
    LeavingNotice notice;
    read(message.getLeavingNotice().getUpstream(), notice.upstream);
    notice.leaving = message.getLeavingNotice().getLeaving();
    return notice;
}

std::optional<PeerMessage> readTicketBatch(Wire::Message::Reader message)
{
    TicketBatch batch;
    for (Wire::TicketRecord::Reader reader : message.getTicketBatch().getTickets()) {
        TicketRecord record;
        record.number = TicketNumber(reader.getNumber());
        record.previous = TicketNumber(reader.getPrevious());
        record.epoch = StoreEpoch(reader.getEpoch());
        record.text = textOf(reader.getText());
        batch.tickets.push_back(std::move(record));
    }
    return batch;
}

std::optional<PeerMessage> readTicketFetch(Wire::Message::Reader message)
{
    return TicketFetch { TicketNumber(message.getTicketFetch().getAfter()) };
}

std::optional<PeerMessage> readSnapshot(Wire::Message::Reader message)
{
    Wire::Snapshot::Reader reader = message.getSnapshot();
    return Snapshot { TicketNumber(reader.getHead()), StoreEpoch(reader.getEpoch()), textOf(reader.getText()) };
}

std::optional<PeerMessage> readClaimQuery(Wire::Message::Reader message)
{
    ClaimQuery query;
    query.claimKey = textOf(message.getClaimQuery().getClaimKey());
    read(message.getClaimQuery().getAttempt(), query.attempt);
    return query;
}

std::optional<PeerMessage> readClaimReply(Wire::Message::Reader message)
{
    Wire::ClaimReply::Reader reader = message.getClaimReply();
    ClaimReply reply;
    if (!readEnum(reader.getStanding(), ClaimStanding::NotKnown, reply.standing)) {
        return std::nullopt;
    }
    reply.claimKey = textOf(reader.getClaimKey());
    read(reader.getAttempt(), reply.attempt);
    return reply;
}

} // namespace

std::optional<PeerMessage> readMessage(Wire::Message::Reader reader)
{
    switch (reader.which()) {
    case Wire::Message::HEARTBEAT:
        return readHeartbeat(reader);
    case Wire::Message::SLOT_REQUEST:
        return readSlotRequest(reader);
    case Wire::Message::SLOT_GRANT:
        return readSlotGrant(reader);
    case Wire::Message::SLOT_REFUSAL:
        return readSlotRefusal(reader);
    case Wire::Message::SLOT_CANCEL:
        return readSlotCancel(reader);
    case Wire::Message::ATTEMPT_PROGRESS:
        return readAttemptProgress(reader);
    case Wire::Message::ATTEMPT_END:
        return readAttemptEnd(reader);
    case Wire::Message::ATTEMPT_REGISTRATION:
        return readAttemptRegistration(reader);
    case Wire::Message::ATTEMPT_PAUSE:
        return readAttemptPause(reader);
    case Wire::Message::LEAVING_NOTICE:
        return readLeavingNotice(reader);
    case Wire::Message::TICKET_BATCH:
        return readTicketBatch(reader);
    case Wire::Message::TICKET_FETCH:
        return readTicketFetch(reader);
    case Wire::Message::SNAPSHOT_FETCH:
        return SnapshotFetch {};
    case Wire::Message::SNAPSHOT:
        return readSnapshot(reader);
    case Wire::Message::CLAIM_QUERY:
        return readClaimQuery(reader);
    case Wire::Message::CLAIM_REPLY:
        return readClaimReply(reader);
    }
    return std::nullopt;
}

} // namespace GeraniumLever
