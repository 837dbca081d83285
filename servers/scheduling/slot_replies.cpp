#include "servers/scheduling/slot_replies.h"

#include "servers/scheduling/decision_record.h"
#include "servers/scheduling/wait_estimate.h"

namespace GeraniumLever {

namespace {

/** Classes with waiting requests, as the catalog describes them. */
std::vector<const RequestClass *> waitingClasses(const ShardState &state)
{
    std::vector<const RequestClass *> classes;
    for (const ClassRank &rank : state.queue.ranks()) {
        const RequestClass *requestClass = state.classOf(rank.name);
        if (requestClass != nullptr) {
            classes.push_back(requestClass);
        }
    }
    return classes;
}

/** Expected seat time of a request, by which its team is charged; 1 as long as nothing has been measured. */
double expectedWork(const ShardState &state, const SlotRequest &request, const UpstreamChoice &choice)
{
    const std::optional<double> length = state.lengths.median(request.requestClass, request.team);
    const std::optional<Duration> gap = state.speeds.gapAt(choice.upstream, 1);
    if (!length || !gap) {
        return state.classes.seatSeconds(request.requestClass).value_or(1.0);
    }
    const double decode = *length * std::chrono::duration<double>(*gap).count();
    const double rate = state.speeds.prefillRate(choice.upstream).value_or(0.0);
    return decode + (rate > 0.0 ? choice.uncachedTokens / rate : 0.0);
}

} // namespace

void grant(ShardState &state,
           RequestId request,
           const UpstreamChoice &choice,
           std::string_view reason,
           TimePoint now,
           Commands &commands)
{
    const std::vector<const RequestClass *> waitingNow = waitingClasses(state);
    const SlotRequest &asked = state.queue.find(request)->request;
    const double work = expectedWork(state, asked, choice);
    const std::uint32_t weight = state.weightOf(asked.team);
    const WaitingRequest waiting = state.queue.take(request, work, weight);
    RunningAttempt attempt;
    attempt.attempt = state.issuer.issue();
    attempt.request = request;
    attempt.ingress = waiting.from;
    attempt.upstream = choice.upstream;
    attempt.requestClass = waiting.request.requestClass;
    attempt.team = waiting.request.team;
    attempt.tier = waiting.tier;
    attempt.promptTokens = waiting.request.promptTokens;
    attempt.uncachedTokens = choice.uncachedTokens;
    attempt.granted = now;
    attempt.lastHeard = now;
    attempt.resumed = waiting.request.resumesPaused;
    attempt.guaranteed = reason == GuaranteeReason;
    const UpstreamState &upstream = *state.upstreams.find(choice.upstream);
    attempt.batchSize = upstream.inFlight + 1;
    attempt.prefillAhead = upstream.prefillBefore(attempt.tier);
    if (const RequestClass *requestClass = state.classOf(attempt.requestClass); requestClass != nullptr) {
        attempt.preemptible = requestClass->preemptible;
        state.guarantees.noteGrant(*requestClass, waitingNow);
    }
    state.classes.noteGrant(attempt.requestClass, now);
    state.prefixes.noteGranted(choice.upstream, waiting.request.prefixHashes);
    commands.push_back(
        PeerSend { waiting.from, SlotGrant { request, attempt.attempt, attempt.upstream, state.shard } });
    commands.push_back(grantDecision(attempt, now - waiting.arrived, reason));
    state.addAttempt(std::move(attempt), now);
}

void refuse(ShardState &state, RequestId request, ResultCode code, TimePoint now, Commands &commands)
{
    const WaitingRequest waiting = *state.queue.find(request);
    const Duration comeBack = retryAfter(state, waiting.request.requestClass, now);
    state.queue.erase(request);
    commands.push_back(PeerSend { waiting.from, SlotRefusal { request, state.shard, code, comeBack } });
    commands.push_back(refusalDecision(waiting.request, waiting.tier, now - waiting.arrived, code, comeBack));
}

void refuseNew(ShardState &state,
               const NodeName &from,
               const SlotRequest &request,
               ResultCode code,
               TimePoint now,
               Commands &commands)
{
    const RequestClass *requestClass = state.classOf(request.requestClass);
    const std::uint32_t tier = requestClass == nullptr ? 0 : requestClass->tier;
    const Duration comeBack = requestClass == nullptr ? Duration(0) : retryAfter(state, request.requestClass, now);
    state.queue.erase(request.request);
    commands.push_back(PeerSend { from, SlotRefusal { request.request, state.shard, code, comeBack } });
    commands.push_back(refusalDecision(request, tier, Duration(0), code, comeBack));
}

} // namespace GeraniumLever
