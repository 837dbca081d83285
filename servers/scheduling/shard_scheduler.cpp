#include "servers/scheduling/shard_scheduler.h"

#include <algorithm>

#include "servers/scheduling/grant_system.h"
#include "servers/scheduling/health_system.h"
#include "servers/scheduling/isolated_grants.h"
#include "servers/scheduling/preemption_system.h"
#include "servers/scheduling/seats.h"
#include "servers/scheduling/shard_map.h"
#include "servers/scheduling/shedding_system.h"
#include "servers/scheduling/slot_replies.h"
#include "servers/scheduling/wait_estimate.h"

namespace GeraniumLever {

namespace {

/** An attempt without a report for longer than this is removed and its seat freed. */
constexpr Duration AttemptReportTimeout = std::chrono::seconds(120);

/** Interval of the checks for unreachable deadlines, slow upstreams and attempts without reports. */
constexpr Duration PeriodicCheckInterval = std::chrono::milliseconds(100);

/** Interval of the checks whether attempts must be paused for waiting requests. */
constexpr Duration PauseCheckInterval = std::chrono::milliseconds(20);

/** The retry budget covers all attempts of this many upstreams that crash at the same time. */
constexpr std::uint32_t RetryBurstUpstreams = 2;

} // namespace

void ShardScheduler::applyCatalog(const CatalogPtr &catalog)
{
    state_.catalog = catalog;
    Table<UpstreamName, UpstreamState> next;
    std::uint32_t largest = 0;
    for (const UpstreamName &name : upstreamsOf(*catalog, state_.shard)) {
        const UpstreamState *known = state_.upstreams.find(name);
        UpstreamState upstream = known == nullptr ? UpstreamState {} : *known;
        const Upstream *row = catalog->upstreams().find(name);
        upstream.name = name;
        upstream.seats = row->seats;
        upstream.leavingByCatalog = row->leaving;
        upstream.inFlight = state_.running.countAt(name);
        largest = std::max(largest, row->seats);
        next.put(name, upstream);
    }
    state_.upstreams = std::move(next);
    state_.speeds.keepOnly(state_.upstreams);
    state_.retries.setBurst(RetryBurstUpstreams * largest);
    queueOutdated_ = true;
}

bool ShardScheduler::answerRepeatedRequest(const NodeName &from,
                                           const SlotRequest &request,
                                           TimePoint now,
                                           Commands &commands)
{
    const RunningAttempt *running = state_.running.findByRequest(request.request);
    if (running == nullptr) {
        return false;
    }
    const bool superseded = excludes(request, running->upstream) || (running->pausing && request.resumesPaused);
    if (superseded) {
        state_.removeAttempt(running->attempt, now);
        return false;
    }
    commands.push_back(
        PeerSend { from, SlotGrant { running->request, running->attempt, running->upstream, state_.shard } });
    return true;
}

bool ShardScheduler::admit(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands)
{
    const RequestClass *requestClass = state_.classOf(request.requestClass);
    if (requestClass == nullptr) {
        refuseNew(state_, from, request, ResultCode::UnknownClass, now, commands);
        return false;
    }
    if (!hasAvailableUpstream(state_, request)) {
        refuseNew(state_, from, request, ResultCode::NoUpstream, now, commands);
        return false;
    }
    if (state_.queue.find(request.request) != nullptr) {
        return true;
    }
    state_.classes.recordArrival(request.requestClass, now);
    if (request.retry && !state_.retries.trySpend()) {
        refuseNew(state_, from, request, ResultCode::Shed, now, commands);
        return false;
    }
    state_.retries.recordRequest();
    if (!makeRoom(state_, requestClass->tier, now, commands)) {
        refuseNew(state_, from, request, ResultCode::QueueFull, now, commands);
        return false;
    }
    return true;
}

void ShardScheduler::slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands)
{
    if (answerRepeatedRequest(from, request, now, commands) || !admit(from, request, now, commands)) {
        return;
    }
    const WaitingRequest waiting = makeWaiting(from, request, now);
    const ClassRank rank { waiting.tier, waiting.group, request.requestClass };
    state_.queue.push(waiting);
    grantFreeSeats(state_, now, commands);
    grantHighestTierBeyondShare(state_, now, commands);
    shedUnreachableOfTeam(state_, rank, request.team, now, commands);
}

WaitingRequest ShardScheduler::makeWaiting(const NodeName &from, const SlotRequest &request, TimePoint now)
{
    const RequestClass &requestClass = *state_.classOf(request.requestClass);
    WaitingRequest waiting;
    waiting.request = request;
    waiting.from = from;
    waiting.arrivedAt = now;
    waiting.deadline = now + request.timeLeft;
    waiting.group = request.deliveredTokens > 0 ? ServiceGroup::Resumed : ServiceGroup::OnTime;
    waiting.onTimeUntil = now + maxOnTimeWait(state_, request, requestClass);
    waiting.sequence = ++state_.sequence;
    waiting.tier = requestClass.tier;
    waiting.weight = state_.weightOf(request.team);
    return waiting;
}

void ShardScheduler::slotCancelled(const SlotCancel &cancel, TimePoint now, Commands &commands)
{
    if (state_.queue.erase(cancel.request)) {
        return;
    }
    if (const RunningAttempt *running = state_.running.findByRequest(cancel.request); running != nullptr) {
        state_.removeAttempt(running->attempt, now);
        grantFreeSeats(state_, now, commands);
    }
}

void ShardScheduler::attemptProgressed(const AttemptProgress &progress, TimePoint now)
{
    recordProgress(state_, progress, now);
}

void ShardScheduler::attemptEnded(const AttemptEnd &end, TimePoint now, Commands &commands)
{
    const std::optional<RunningAttempt> removed = state_.removeAttempt(end.attempt, now);
    if (!removed) {
        return;
    }
    recordEnd(state_, *removed, end, now);
    state_.pausedSeats += removed->pausing && end.ending == AttemptEnding::Paused ? 1 : 0;
    grantFreeSeats(state_, now, commands);
}

void ShardScheduler::attemptRegistered(const NodeName &from, const AttemptRegistration &registration, TimePoint now)
{
    RunningAttempt attempt;
    attempt.attempt = registration.attempt;
    attempt.request = registration.request;
    attempt.ingress = from;
    attempt.upstream = registration.upstream;
    attempt.requestClass = registration.requestClass;
    attempt.team = registration.team;
    attempt.promptTokens = registration.promptTokens;
    attempt.tokens = registration.tokens;
    attempt.grantedAt = now - registration.age;
    attempt.lastReportAt = now;
    if (const RequestClass *requestClass = state_.classOf(registration.requestClass); requestClass != nullptr) {
        attempt.tier = requestClass->tier;
        attempt.preemptible = requestClass->preemptible;
    }
    // The request may also be waiting here, if the ingress sent it to this scheduler before the grant of the previous
    // one arrived.
    state_.queue.erase(registration.request);
    state_.addAttempt(std::move(attempt), now);
}

void ShardScheduler::loadReported(const LoadReport &report, TimePoint now)
{
    UpstreamState *upstream = state_.upstreams.edit(report.upstream);
    if (upstream == nullptr) {
        return;
    }
    queueOutdated_ = queueOutdated_ || upstream->ready != report.ready || report.leaving;
    upstream->ready = report.ready;
    upstream->leavingByNotice = upstream->leavingByNotice || report.leaving;
    upstream->reported = report.running + report.waiting;
    upstream->reportedAt = now;
    upstream->reportAwaitedUntil = TimePoint {};
}

void ShardScheduler::cacheChanged(const CacheEvent &event)
{
    if (state_.upstreams.contains(event.upstream)) {
        state_.prefixes.applyCacheEvent(event);
    }
}

void ShardScheduler::setLeaving(const UpstreamName &upstream, bool leaving)
{
    if (UpstreamState *row = state_.upstreams.edit(upstream); row != nullptr) {
        row->leavingByNotice = leaving;
        queueOutdated_ = true;
    }
}

void ShardScheduler::withholdGrantsUntilReport(const UpstreamName &upstream, TimePoint until)
{
    if (UpstreamState *row = state_.upstreams.edit(upstream); row != nullptr) {
        row->reportAwaitedUntil = until;
    }
}

void ShardScheduler::setHeld(const UpstreamName &upstream, bool held)
{
    if (UpstreamState *row = state_.upstreams.edit(upstream); row != nullptr) {
        row->held = held;
        queueOutdated_ = true;
    }
}

void ShardScheduler::nodeLost(const NodeName &node, TimePoint now, Commands &commands)
{
    for (const RequestId &request : state_.queue.requestsFrom(node)) {
        state_.queue.erase(request);
    }
    std::vector<AttemptId> lost;
    for (const auto &[id, attempt] : state_.running.attempts()) {
        if (attempt.ingress == node) {
            lost.push_back(id);
        }
    }
    for (const AttemptId &id : lost) {
        state_.removeAttempt(id, now);
    }
    grantFreeSeats(state_, now, commands);
}

void ShardScheduler::tick(TimePoint now, Commands &commands)
{
    if (queueOutdated_) {
        queueOutdated_ = false;
        reclassify(now, commands);
        refuseUnplaceable(now, commands);
    }
    state_.queue.demoteLate(now);
    refuseExpired(state_, now, commands);
    if (now >= nextPeriodicCheck_) {
        nextPeriodicCheck_ = now + PeriodicCheckInterval;
        runPeriodicChecks(now, commands);
    }
    grantFreeSeats(state_, now, commands);
    grantHighestTierBeyondShare(state_, now, commands);
    if (now >= nextPauseCheck_) {
        nextPauseCheck_ = now + PauseCheckInterval;
        pauseForHigherTiers(state_, now, commands);
    }
}

void ShardScheduler::runPeriodicChecks(TimePoint now, Commands &commands)
{
    removeSilentAttempts(now);
    updateEjections(state_, now, commands);
    probeEjected(state_, now, commands);
    shedUnreachable(state_, now, commands);
}

void ShardScheduler::removeSilentAttempts(TimePoint now)
{
    std::vector<AttemptId> silent;
    for (const auto &[id, attempt] : state_.running.attempts()) {
        if (now - attempt.lastReportAt > AttemptReportTimeout) {
            silent.push_back(id);
        }
    }
    for (const AttemptId &id : silent) {
        state_.removeAttempt(id, now);
    }
}

void ShardScheduler::reclassify(TimePoint now, Commands &commands)
{
    for (const RequestId &request : state_.queue.requestsByArrival()) {
        WaitingRequest waiting = *state_.queue.find(request);
        const RequestClass *requestClass = state_.classOf(waiting.request.requestClass);
        if (requestClass == nullptr) {
            refuseWaiting(state_, request, ResultCode::UnknownClass, now, commands);
        } else if (requestClass->tier != waiting.tier) {
            waiting.tier = requestClass->tier;
            state_.queue.push(std::move(waiting));
        }
    }
}

void ShardScheduler::refuseUnplaceable(TimePoint now, Commands &commands)
{
    for (const RequestId &request : state_.queue.requestsByArrival()) {
        if (!hasAvailableUpstream(state_, state_.queue.find(request)->request)) {
            refuseWaiting(state_, request, ResultCode::NoUpstream, now, commands);
        }
    }
}

void ShardScheduler::refuseAll(TimePoint now, Commands &commands)
{
    for (const RequestId &request : state_.queue.requestsByArrival()) {
        refuseWaiting(state_, request, ResultCode::NoUpstream, now, commands);
    }
}

void ShardScheduler::addToSummary(PoolSummary &summary, TimePoint now) const
{
    const std::uint32_t free = freeSeatsOfShard(state_, now);
    summary.totalSeats += seatsOfShard(state_);
    summary.freeSeats += free;
    for (const auto &[name, requestClass] : state_.catalog->classes()) {
        if (summary.waitByTier.size() <= requestClass.tier) {
            summary.waitByTier.resize(requestClass.tier + 1);
        }
        const ClassRank rank { requestClass.tier, ServiceGroup::OnTime, name };
        const std::optional<LinearWaitEstimate> estimate = expectedWait(state_, rank, now);
        const double seconds = estimate ? estimate->at(state_.queue.sizeOf(rank)) : 0.0;
        const Duration wait = free > state_.queue.size()
            ? Duration(0)
            : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        summary.waitByTier[requestClass.tier] = std::max(summary.waitByTier[requestClass.tier], wait);
    }
}

} // namespace GeraniumLever
