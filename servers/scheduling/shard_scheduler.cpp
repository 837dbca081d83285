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

/** An attempt that nobody has reported for this long is no longer counted. */
constexpr Duration SilentAttemptLimit = std::chrono::seconds(120);

/** How often the whole queue, the speeds and the silent attempts are looked over. */
constexpr Duration ReviewInterval = std::chrono::milliseconds(100);

/** How often waiting requests are compared with the attempts that could be paused for them. */
constexpr Duration PauseInterval = std::chrono::milliseconds(20);

/** Crashes of this many whole upstreams at once are covered by the retry budget. */
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

bool ShardScheduler::answeredByRunning(const NodeName &from,
                                       const SlotRequest &request,
                                       TimePoint now,
                                       Commands &commands)
{
    const RunningAttempt *running = state_.running.findByRequest(request.request);
    if (running == nullptr) {
        return false;
    }
    const bool over = excludes(request, running->upstream) || (running->pausing && request.resumesPaused);
    if (over) {
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
    if (!anyOpenUpstream(state_, request)) {
        refuseNew(state_, from, request, ResultCode::NoUpstream, now, commands);
        return false;
    }
    if (state_.queue.find(request.request) != nullptr) {
        return true;
    }
    state_.classes.noteArrival(request.requestClass, now);
    if (request.retry && !state_.retries.spend()) {
        refuseNew(state_, from, request, ResultCode::Shed, now, commands);
        return false;
    }
    state_.retries.noteRequest();
    if (!makeRoom(state_, requestClass->tier, now, commands)) {
        refuseNew(state_, from, request, ResultCode::QueueFull, now, commands);
        return false;
    }
    return true;
}

void ShardScheduler::slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands)
{
    if (answeredByRunning(from, request, now, commands) || !admit(from, request, now, commands)) {
        return;
    }
    const WaitingRequest waiting = makeWaiting(from, request, now);
    const ClassRank rank { waiting.tier, waiting.group, request.requestClass };
    state_.queue.push(waiting);
    grantSeats(state_, now, commands);
    grantAlone(state_, now, commands);
    shedUnreachableOf(state_, rank, request.team, now, commands);
}

WaitingRequest ShardScheduler::makeWaiting(const NodeName &from, const SlotRequest &request, TimePoint now)
{
    const RequestClass &requestClass = *state_.classOf(request.requestClass);
    WaitingRequest waiting;
    waiting.request = request;
    waiting.from = from;
    waiting.arrived = now;
    waiting.deadline = now + request.timeLeft;
    waiting.group = request.deliveredTokens > 0 ? ServiceGroup::Resumed : ServiceGroup::OnTime;
    waiting.lateFrom = now + lastChance(state_, request, requestClass);
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
        grantSeats(state_, now, commands);
    }
}

void ShardScheduler::attemptProgressed(const AttemptProgress &progress, TimePoint now)
{
    noteProgress(state_, progress, now);
}

void ShardScheduler::attemptEnded(const AttemptEnd &end, TimePoint now, Commands &commands)
{
    const std::optional<RunningAttempt> removed = state_.removeAttempt(end.attempt, now);
    if (!removed) {
        return;
    }
    noteEnd(state_, *removed, end, now);
    state_.pausedSeats += removed->pausing && end.ending == AttemptEnding::Paused ? 1 : 0;
    grantSeats(state_, now, commands);
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
    attempt.granted = now - registration.age;
    attempt.lastHeard = now;
    if (const RequestClass *requestClass = state_.classOf(registration.requestClass); requestClass != nullptr) {
        attempt.tier = requestClass->tier;
        attempt.preemptible = requestClass->preemptible;
    }
    // The request may also wait here, if its grant crossed with the change of scheduler.
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
    upstream->awaitedUntil = TimePoint {};
}

void ShardScheduler::cacheChanged(const CacheEvent &event)
{
    if (state_.upstreams.contains(event.upstream)) {
        state_.prefixes.noteEvent(event);
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
        row->awaitedUntil = until;
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
    for (const RequestId &request : state_.queue.from(node)) {
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
    grantSeats(state_, now, commands);
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
    if (now >= nextReview_) {
        nextReview_ = now + ReviewInterval;
        review(now, commands);
    }
    grantSeats(state_, now, commands);
    grantAlone(state_, now, commands);
    if (now >= nextPause_) {
        nextPause_ = now + PauseInterval;
        pauseForHigherTiers(state_, now, commands);
    }
}

void ShardScheduler::review(TimePoint now, Commands &commands)
{
    dropSilent(now);
    reviewSpeeds(state_, now, commands);
    probeEjected(state_, now, commands);
    shedUnreachable(state_, now, commands);
}

void ShardScheduler::dropSilent(TimePoint now)
{
    std::vector<AttemptId> silent;
    for (const auto &[id, attempt] : state_.running.attempts()) {
        if (now - attempt.lastHeard > SilentAttemptLimit) {
            silent.push_back(id);
        }
    }
    for (const AttemptId &id : silent) {
        state_.removeAttempt(id, now);
    }
}

void ShardScheduler::reclassify(TimePoint now, Commands &commands)
{
    for (const RequestId &request : state_.queue.all()) {
        WaitingRequest waiting = *state_.queue.find(request);
        const RequestClass *requestClass = state_.classOf(waiting.request.requestClass);
        if (requestClass == nullptr) {
            refuse(state_, request, ResultCode::UnknownClass, now, commands);
        } else if (requestClass->tier != waiting.tier) {
            waiting.tier = requestClass->tier;
            state_.queue.push(std::move(waiting));
        }
    }
}

void ShardScheduler::refuseUnplaceable(TimePoint now, Commands &commands)
{
    for (const RequestId &request : state_.queue.all()) {
        if (!anyOpenUpstream(state_, state_.queue.find(request)->request)) {
            refuse(state_, request, ResultCode::NoUpstream, now, commands);
        }
    }
}

void ShardScheduler::close(TimePoint now, Commands &commands)
{
    for (const RequestId &request : state_.queue.all()) {
        refuse(state_, request, ResultCode::NoUpstream, now, commands);
    }
}

void ShardScheduler::addTo(PoolSummary &summary, TimePoint now) const
{
    const std::uint32_t free = freeSeatsOfShard(state_, now);
    summary.totalSeats += seatsOfShard(state_);
    summary.freeSeats += free;
    for (const auto &[name, requestClass] : state_.catalog->classes()) {
        if (summary.waitByTier.size() <= requestClass.tier) {
            summary.waitByTier.resize(requestClass.tier + 1);
        }
        const ClassRank rank { requestClass.tier, ServiceGroup::OnTime, name };
        const std::optional<WaitLine> line = expectedWait(state_, rank, now);
        const double seconds = line ? line->at(state_.queue.sizeOf(rank)) : 0.0;
        const Duration wait = free > state_.queue.size()
            ? Duration(0)
            : std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        summary.waitByTier[requestClass.tier] = std::max(summary.waitByTier[requestClass.tier], wait);
    }
}

} // namespace GeraniumLever
