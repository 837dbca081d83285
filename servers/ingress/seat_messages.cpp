#include "servers/ingress/seat_messages.h"

namespace GeraniumLever {

SlotRequest makeSlotRequest(const RequestRow &row, Duration timeLeft)
{
    SlotRequest request;
    request.request = row.call.request;
    request.shard = row.shard;
    request.requestClass = row.requestClass.name;
    request.team = row.team;
    request.timeLeft = timeLeft;
    request.promptTokens = row.promptTokens;
    request.maxTokens = row.completion ? row.completion->maxTokens() : 0;
    request.deliveredTokens = row.answer.tokens();
    request.prefixHashes = row.prefixHashes;
    request.excluded = row.excluded;
    request.retry = row.attempts > 0 && !row.paused;
    request.resumesPaused = row.paused;
    return request;
}

AttemptProgress makeProgress(const RequestRow &row)
{
    AttemptProgress progress;
    progress.attempt = row.running.attempt;
    progress.shard = row.running.shard;
    progress.upstream = row.running.upstream;
    progress.firstToken = row.running.firstToken;
    progress.tokens = row.running.tokens;
    progress.readerSlow = row.running.readerSlow;
    return progress;
}

AttemptRegistration makeRegistration(const RequestRow &row, TimePoint now)
{
    AttemptRegistration registration;
    registration.attempt = row.running.attempt;
    registration.request = row.call.request;
    registration.shard = row.running.shard;
    registration.upstream = row.running.upstream;
    registration.requestClass = row.requestClass.name;
    registration.team = row.team;
    registration.promptTokens = row.promptTokens;
    registration.tokens = row.running.tokens;
    registration.age = now - row.running.dispatchedAt;
    return registration;
}

AttemptEnd makeEnd(const RequestRow &row, AttemptEnding ending, std::uint32_t wastedTokens)
{
    AttemptEnd end;
    end.attempt = row.running.attempt;
    end.request = row.call.request;
    end.shard = row.running.shard;
    end.upstream = row.running.upstream;
    end.ending = ending;
    end.firstToken = row.running.firstToken;
    end.tokens = row.running.tokens;
    end.wastedTokens = wastedTokens;
    end.readerSlow = row.running.readerSlow;
    return end;
}

PeerSend makeCancel(const RequestRow &row)
{
    return PeerSend { row.scheduler, SlotCancel { row.call.request, row.shard } };
}

} // namespace GeraniumLever
