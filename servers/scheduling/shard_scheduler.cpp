#include "servers/scheduling/shard_scheduler.h"

#include <algorithm>

#include "servers/scheduling/decision_record.h"
#include "servers/scheduling/shard_map.h"

namespace GeraniumLever {

namespace {

/** Most requests that wait in one shard. */
constexpr std::size_t MaxWaiting = 10000;

/** Requests of a class that are tried when the first one's upstreams are all taken. */
constexpr std::size_t MaxCandidates = 8;

/** Retry-After where no drain rate has been measured. */
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

/** Spread of Retry-After, so that refused callers do not return together. */
constexpr double RetryAfterJitter = 0.25;

/** An attempt that nobody has reported for this long is no longer counted. */
constexpr Duration SilentAttemptLimit = std::chrono::seconds(120);

} // namespace

ShardScheduler::ShardScheduler(ShardKey shard, AttemptIssuer &issuer) : shard_(std::move(shard)), issuer_(issuer) { }

void ShardScheduler::applyCatalog(const CatalogPtr &catalog)
{
    catalog_ = catalog;
    Table<UpstreamName, UpstreamState> next;
    for (const UpstreamName &name : upstreamsOf(*catalog, shard_)) {
        const UpstreamState *known = upstreams_.find(name);
        UpstreamState state = known == nullptr ? UpstreamState {} : *known;
        const Upstream *row = catalog->upstreams().find(name);
        state.name = name;
        state.seats = row->seats;
        state.leavingByCatalog = row->leaving;
        next.put(name, state);
    }
    upstreams_ = std::move(next);
    queueOutdated_ = true;
}

void ShardScheduler::slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands)
{
    if (const RunningAttempt *running = running_.findByRequest(request.request); running != nullptr) {
        const bool lost =
            std::find(request.excluded.begin(), request.excluded.end(), running->upstream) != request.excluded.end();
        const bool paused = running->pausing && request.resumesPaused;
        if (!lost && !paused) {
            repeatGrant(from, *running, commands);
            return;
        }
        running_.remove(running->attempt);
    }
    const RequestClass *requestClass = catalog_->classes().find(request.requestClass);
    if (requestClass == nullptr) {
        refuseUnqueued(from, request, ResultCode::UnknownClass, Duration(0), commands);
        return;
    }
    if (!anyOpenUpstream(request)) {
        refuseUnqueued(from, request, ResultCode::NoUpstream, retryAfterFor(request.requestClass), commands);
        return;
    }
    if (queue_.find(request.request) == nullptr && !makeRoomFor(requestClass->tier, now, commands)) {
        refuseUnqueued(from, request, ResultCode::QueueFull, retryAfterFor(request.requestClass), commands);
        return;
    }
    queue_.push(WaitingRequest { request, from, now, now + request.timeLeft, ++sequence_, requestClass->tier });
    schedule(now, commands);
}

bool ShardScheduler::makeRoomFor(std::uint32_t tier, TimePoint now, Commands &commands)
{
    if (queue_.size() < MaxWaiting) {
        return true;
    }
    const WaitingRequest *newest = queue_.newestOfLowest();
    if (newest->tier <= tier) {
        return false;
    }
    refuse(newest->request.request, ResultCode::QueueFull, now, commands);
    return true;
}

void ShardScheduler::slotCancelled(const SlotCancel &cancel, TimePoint now, Commands &commands)
{
    if (queue_.erase(cancel.request)) {
        return;
    }
    if (const RunningAttempt *running = running_.findByRequest(cancel.request); running != nullptr) {
        running_.remove(running->attempt);
        schedule(now, commands);
    }
}

void ShardScheduler::attemptProgressed(const AttemptProgress &progress, TimePoint now)
{
    RunningAttempt *running = running_.edit(progress.attempt);
    if (running == nullptr) {
        return;
    }
    running->tokens = progress.tokens;
    running->lastHeard = now;
    if (!running->firstToken) {
        running->firstToken = progress.firstToken;
    }
}

void ShardScheduler::attemptEnded(const AttemptEnd &end, TimePoint now, Commands &commands)
{
    if (running_.remove(end.attempt)) {
        schedule(now, commands);
    }
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
    if (const RequestClass *requestClass = catalog_->classes().find(registration.requestClass)) {
        attempt.tier = requestClass->tier;
        attempt.preemptible = requestClass->preemptible;
    }
    running_.add(std::move(attempt));
}

void ShardScheduler::loadReported(const LoadReport &report, TimePoint)
{
    UpstreamState *upstream = upstreams_.edit(report.upstream);
    if (upstream == nullptr) {
        return;
    }
    upstream->ready = report.ready;
    upstream->leavingByNotice = upstream->leavingByNotice || report.leaving;
    queueOutdated_ = true;
}

void ShardScheduler::setLeaving(const UpstreamName &upstream, bool leaving)
{
    if (UpstreamState *state = upstreams_.edit(upstream); state != nullptr) {
        state->leavingByNotice = leaving;
        queueOutdated_ = true;
    }
}

void ShardScheduler::setHeld(const UpstreamName &upstream, bool held)
{
    if (UpstreamState *state = upstreams_.edit(upstream); state != nullptr) {
        state->held = held;
        queueOutdated_ = true;
    }
}

void ShardScheduler::setSeatShare(double share)
{
    seatShare_ = share;
}

void ShardScheduler::nodeLost(const NodeName &node, TimePoint now, Commands &commands)
{
    for (const RequestId &request : queue_.from(node)) {
        queue_.erase(request);
    }
    std::vector<AttemptId> lost;
    for (const auto &[id, attempt] : running_.attempts()) {
        if (attempt.ingress == node) {
            lost.push_back(id);
        }
    }
    for (const AttemptId &id : lost) {
        running_.remove(id);
    }
    schedule(now, commands);
}

void ShardScheduler::tick(TimePoint now, Commands &commands)
{
    std::vector<AttemptId> silent;
    for (const auto &[id, attempt] : running_.attempts()) {
        if (now - attempt.lastHeard > SilentAttemptLimit) {
            silent.push_back(id);
        }
    }
    for (const AttemptId &id : silent) {
        running_.remove(id);
    }
    for (const RequestId &request : queue_.expired(now)) {
        refuse(request, ResultCode::DeadlineUnreachable, now, commands);
    }
    if (queueOutdated_) {
        queueOutdated_ = false;
        reclassify(now, commands);
        refuseUnplaceable(now, commands);
    }
    schedule(now, commands);
}

void ShardScheduler::reclassify(TimePoint now, Commands &commands)
{
    for (const RequestId &request : queue_.all()) {
        WaitingRequest waiting = *queue_.find(request);
        const RequestClass *requestClass = catalog_->classes().find(waiting.request.requestClass);
        if (requestClass == nullptr) {
            refuse(request, ResultCode::UnknownClass, now, commands);
        } else if (requestClass->tier != waiting.tier) {
            waiting.tier = requestClass->tier;
            queue_.push(std::move(waiting));
        }
    }
}

void ShardScheduler::refuseUnplaceable(TimePoint now, Commands &commands)
{
    for (const RequestId &request : queue_.all()) {
        if (!anyOpenUpstream(queue_.find(request)->request)) {
            refuse(request, ResultCode::NoUpstream, now, commands);
        }
    }
}

void ShardScheduler::close(TimePoint now, Commands &commands)
{
    for (const RequestId &request : queue_.all()) {
        refuse(request, ResultCode::NoUpstream, now, commands);
    }
}

void ShardScheduler::addTo(PoolSummary &summary) const
{
    for (const auto &[name, upstream] : upstreams_) {
        if (!upstream.open()) {
            continue;
        }
        const std::uint32_t seats = usableSeats(upstream);
        summary.totalSeats += seats;
        summary.freeSeats += seats - std::min(seats, running_.countAt(name));
    }
}

std::uint32_t ShardScheduler::usableSeats(const UpstreamState &upstream) const
{
    const double share = seatShare_ * upstream.seats;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(share));
}

bool ShardScheduler::hasFreeSeat(const UpstreamState &upstream) const
{
    return upstream.open() && running_.countAt(upstream.name) < usableSeats(upstream);
}

bool ShardScheduler::anyFreeSeat() const
{
    return std::any_of(
        upstreams_.begin(), upstreams_.end(), [this](const std::pair<const UpstreamName, UpstreamState> &entry) {
            return hasFreeSeat(entry.second);
        });
}

bool ShardScheduler::anyOpenUpstream(const SlotRequest &request) const
{
    return std::any_of(
        upstreams_.begin(), upstreams_.end(), [&request](const std::pair<const UpstreamName, UpstreamState> &entry) {
            return entry.second.open()
                && std::find(request.excluded.begin(), request.excluded.end(), entry.first) == request.excluded.end();
        });
}

const UpstreamState *ShardScheduler::chooseUpstream(const SlotRequest &request) const
{
    const UpstreamState *best = nullptr;
    for (const auto &[name, upstream] : upstreams_) {
        const bool excluded =
            std::find(request.excluded.begin(), request.excluded.end(), name) != request.excluded.end();
        if (excluded || !hasFreeSeat(upstream)) {
            continue;
        }
        if (best == nullptr || running_.countAt(name) < running_.countAt(best->name)) {
            best = &upstream;
        }
    }
    return best;
}

std::optional<ShardScheduler::Placement> ShardScheduler::placeFirst(const ClassRank &rank) const
{
    for (const RequestId &candidate : queue_.candidates(rank, MaxCandidates)) {
        const UpstreamState *upstream = chooseUpstream(queue_.find(candidate)->request);
        if (upstream != nullptr) {
            return Placement { candidate, upstream->name };
        }
    }
    return std::nullopt;
}

void ShardScheduler::schedule(TimePoint now, Commands &commands)
{
    while (!queue_.empty() && anyFreeSeat()) {
        std::optional<Placement> placement;
        for (const ClassRank &rank : queue_.ranks()) {
            placement = placeFirst(rank);
            if (placement) {
                break;
            }
        }
        if (!placement) {
            return;
        }
        grant(*placement, "tier_order", now, commands);
    }
}

void ShardScheduler::grant(const Placement &placement, std::string_view reason, TimePoint now, Commands &commands)
{
    const TeamName team = queue_.find(placement.request)->request.team;
    const Team *row = catalog_->teams().find(team);
    const WaitingRequest waiting = queue_.take(placement.request, 1.0, row == nullptr ? 1 : row->weight);
    RunningAttempt attempt;
    attempt.attempt = issuer_.issue();
    attempt.request = placement.request;
    attempt.ingress = waiting.from;
    attempt.upstream = placement.upstream;
    attempt.requestClass = waiting.request.requestClass;
    attempt.team = team;
    attempt.tier = waiting.tier;
    const RequestClass *requestClass = catalog_->classes().find(waiting.request.requestClass);
    attempt.preemptible = requestClass != nullptr && requestClass->preemptible;
    attempt.promptTokens = waiting.request.promptTokens;
    attempt.granted = now;
    attempt.lastHeard = now;
    attempt.batchSize = running_.countAt(placement.upstream) + 1;
    commands.push_back(
        PeerSend { waiting.from, SlotGrant { attempt.request, attempt.attempt, attempt.upstream, shard_ } });
    commands.push_back(grantDecision(attempt, now - waiting.arrived, reason));
    running_.add(std::move(attempt));
}

void ShardScheduler::refuse(const RequestId &request, ResultCode code, TimePoint now, Commands &commands)
{
    const WaitingRequest waiting = *queue_.find(request);
    queue_.erase(request);
    const Duration retryAfter = retryAfterFor(waiting.request.requestClass);
    commands.push_back(PeerSend { waiting.from, SlotRefusal { request, shard_, code, retryAfter } });
    commands.push_back(refusalDecision(waiting.request, waiting.tier, now - waiting.arrived, code, retryAfter));
}

void ShardScheduler::refuseUnqueued(
    const NodeName &from, const SlotRequest &request, ResultCode code, Duration retryAfter, Commands &commands)
{
    const RequestClass *requestClass = catalog_->classes().find(request.requestClass);
    queue_.erase(request.request);
    commands.push_back(PeerSend { from, SlotRefusal { request.request, shard_, code, retryAfter } });
    commands.push_back(
        refusalDecision(request, requestClass == nullptr ? 0 : requestClass->tier, Duration(0), code, retryAfter));
}

void ShardScheduler::repeatGrant(const NodeName &from, const RunningAttempt &attempt, Commands &commands) const
{
    commands.push_back(PeerSend { from, SlotGrant { attempt.request, attempt.attempt, attempt.upstream, shard_ } });
}

Duration ShardScheduler::retryAfterFor(const ClassName &)
{
    return issuer_.random().jittered(DefaultRetryAfter, RetryAfterJitter);
}

} // namespace GeraniumLever
