#include "servers/ingress/ingress_system.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "servers/ingress/dispatch_builder.h"
#include "servers/ingress/request_admission.h"
#include "servers/ingress/request_reports.h"

namespace GeraniumLever {

namespace {

constexpr std::uint32_t MaxAttempts = 4;
constexpr Duration ProgressPeriod = std::chrono::seconds(1);
/** How long a request that may have reached an upstream may wait for another seat. */
constexpr Duration MaxResumeWait = std::chrono::seconds(15);
/** How long a silent attempt may go on after its silence was first reported if nothing can replace it. */
constexpr Duration MaxSilence = std::chrono::seconds(15);
constexpr Duration MaxPauseWait = std::chrono::minutes(5);
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
constexpr std::size_t MaxBodyBytes = 16 * 1024 * 1024;
constexpr unsigned HttpOk = 200;
constexpr unsigned HttpTooManyRequests = 429;
constexpr unsigned HttpInternalError = 500;
constexpr unsigned HttpUnavailable = 503;

bool isEventStream(const UpstreamHead &head)
{
    return head.contentType.starts_with("text/event-stream");
}

/** True if the answer arrives as events of a completion, from an engine or through another node. */
bool isCompletionStream(const RequestRow &row)
{
    return row.completion && row.head.status == HttpOk
        && (row.phase != RequestPhase::Forwarded || isEventStream(row.head));
}

Error silenceError()
{
    return { ResultCode::UpstreamTimeout, "the upstream stopped sending data", std::nullopt };
}

std::uint64_t requestDigest(const CallerRequest &call)
{
    const std::string text = call.method + '\n' + call.target + '\n' + call.body;
    return XXH64(text.data(), text.size(), 0);
}

} // namespace

IngressSystem::IngressSystem(std::uint64_t origin,
                             std::string meshKey,
                             ClaimSystem &claims,
                             const MembershipSystem &membership)
    : claims_(claims)
    , seats_(requests_, membership)
    , finisher_(origin, requests_, seats_, claims)
    , forwarder_(origin, std::move(meshKey), requests_, claims, membership)
    , catalog_(std::make_shared<const Catalog>())
{
}

void IngressSystem::applyCatalog(CatalogPtr catalog)
{
    seats_.applyCatalog(catalog);
    catalog_ = std::move(catalog);
}

void IngressSystem::callerRequested(const CallerRequest &call, TimePoint now, Commands &commands)
{
    Result<RequestRow> admitted = admitRequest(call, *catalog_, now);
    if (!succeeded(admitted)) {
        const Error &error = errorOf(admitted);
        Decision decision {
            "reject", { { "request", call.request.text() }, { "code", std::string(resultCodeName(error.code)) } }
        };
        commands.emplace_back(std::move(decision));
        commands.emplace_back(ReplyError { call.request, error, Outcome::NotRun });
        return;
    }
    const Team *team = catalog_->teams().find(valueOf(admitted).team);
    if (team->maxInFlight > 0 && requests_.requestCount(team->name) >= team->maxInFlight) {
        Error error { ResultCode::TeamLimit, "the team has too many requests in flight", DefaultRetryAfter };
        commands.emplace_back(makeDecision("reject", valueOf(admitted)));
        commands.emplace_back(ReplyError { call.request, std::move(error), Outcome::NotRun });
        return;
    }
    RequestRow &row = requests_.add(std::move(std::get<RequestRow>(admitted)));
    if (row.phase == RequestPhase::QueryingStatus) {
        claims_.requestStatus(call.request, row.team, row.call.idempotencyKey, now, commands);
        return;
    }
    if (row.phase == RequestPhase::LookingUp) {
        const ClaimRequest claim { call.request, row.team, row.call.idempotencyKey, requestDigest(call), row.deadline };
        claims_.lookUp(claim, now, commands);
        return;
    }
    requestSeat(row, now, commands);
}

void IngressSystem::callerGone(const CallerGone &event, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(event.request);
    if (row == nullptr) {
        return;
    }
    row->callerGone = true;
    if (row->phase != RequestPhase::QueryingStatus && !row->requestClass.idempotent) {
        return;
    }
    if (row->phase == RequestPhase::WaitingForSeat) {
        seats_.cancel(*row, commands);
    }
    if (!row->running.attempt.empty()) {
        row->mayHaveReachedUpstream = true;
        commands.emplace_back(UpstreamCancel { row->running.attempt });
        seats_.end(*row, AttemptEnding::Cancelled, row->answer.tokens(), commands);
    }
    const Outcome outcome = row->mayHaveReachedUpstream ? Outcome::Failed : Outcome::NotRun;
    finisher_.closeRequest(*row, outcome, ResultCode::CallerGone, row->answer.tokens(), now, commands);
}

void IngressSystem::callerBacklogged(const CallerBacklog &event, Commands &commands)
{
    RequestRow *row = requests_.edit(event.request);
    if (row != nullptr && !row->running.attempt.empty()) {
        row->running.readerSlow = row->running.readerSlow || event.backlogged;
        commands.emplace_back(UpstreamReadControl { row->running.attempt, !event.backlogged });
    }
}

// Seats.

void IngressSystem::requestSeat(RequestRow &row, TimePoint now, Commands &commands)
{
    if (seats_.enqueue(row, now, commands)) {
        return;
    }
    if (row.hasSilentAttempt()) {
        keepSilentAttempt(row, now, commands);
        return;
    }
    if (forwarder_.forward(row, row.deadline - now, now, commands)) {
        return;
    }
    finisher_.failRequest(
        row, { ResultCode::NoUpstream, "no upstream serves the request", DefaultRetryAfter }, now, commands);
}

void IngressSystem::slotGranted(const NodeName &from, const SlotGrant &grant, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(grant.request);
    if (row != nullptr && row->running.attempt == grant.attempt) {
        return;
    }
    if (row == nullptr || !seats_.expects(*row, from)) {
        seats_.decline(from, grant, commands);
        return;
    }
    if (now >= row->deadline) {
        seats_.decline(from, grant, commands);
        if (row->hasSilentAttempt()) {
            keepSilentAttempt(*row, now, commands);
            return;
        }
        finisher_.failRequest(
            *row,
            { ResultCode::DeadlineUnreachable, "no seat became free before the deadline", DefaultRetryAfter },
            now,
            commands);
        return;
    }
    if (!catalog_->upstreams().contains(grant.upstream)) {
        seats_.decline(from, grant, commands);
        row->excluded.push_back(grant.upstream);
        requestSeat(*row, now, commands);
        return;
    }
    if (row->hasSilentAttempt()) {
        commands.emplace_back(UpstreamCancel { row->running.attempt });
    }
    seats_.accept(*row, from, grant);
    if (row->requestClass.idempotent) {
        dispatch(*row, now, commands);
        return;
    }
    row->phase = RequestPhase::Claiming;
    claims_.claim(grant.request, grant.attempt, now, commands);
}

void IngressSystem::slotRefused(const NodeName &from, const SlotRefusal &refusal, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(refusal.request);
    if (row == nullptr || !seats_.expects(*row, from)) {
        return;
    }
    if (row->hasSilentAttempt()) {
        keepSilentAttempt(*row, now, commands);
        return;
    }
    if (forwarder_.forward(*row, row->deadline - now, now, commands)) {
        return;
    }
    finisher_.failRequest(
        *row, { refusal.code, "the scheduler did not grant a seat", refusal.retryAfter }, now, commands);
}

void IngressSystem::attemptPaused(const AttemptPause &pause, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.findByAttempt(pause.attempt);
    const bool running = row != nullptr && row->phase == RequestPhase::Running;
    if (!running || !row->requestClass.idempotent || !row->completion) {
        return;
    }
    commands.emplace_back(UpstreamCancel { pause.attempt });
    if (finisher_.completeIfOnlyEndIsMissing(*row, now, commands)) {
        return;
    }
    Decision decision = makeDecision("paused", *row);
    addField(decision, "attempt", pause.attempt.text());
    addField(decision, "tokens", std::to_string(row->answer.tokens()));
    commands.emplace_back(std::move(decision));
    seats_.end(*row, AttemptEnding::Paused, 0, commands);
    row->paused = true;
    row->mayHaveReachedUpstream = true;
    row->deadline = std::max(row->deadline, now + MaxPauseWait);
    requestSeat(*row, now, commands);
}

void IngressSystem::schedulersChanged(const std::vector<NodeName> &lost, TimePoint now, Commands &commands)
{
    seats_.handleSchedulerChange(lost, now, commands);
}

// Upstreams.

void IngressSystem::dispatch(RequestRow &row, TimePoint now, Commands &commands)
{
    const Upstream *upstream = catalog_->upstreams().find(row.running.upstream);
    row.phase = RequestPhase::Running;
    row.paused = false;
    row.running.dispatchedAt = now;
    row.running.progressDueAt = now + ProgressPeriod;
    row.head = UpstreamHead {};
    row.body.clear();
    row.answer.beginContinuation();
    Decision decision = makeDecision("dispatch", row);
    addField(decision, "attempt", row.running.attempt.text());
    addField(decision, "upstream", row.running.upstream.text());
    addField(decision, "scheduler", row.scheduler.text());
    addField(decision, "wait_ms", std::to_string(toMilliseconds(now - row.arrivedAt)));
    addField(decision, "resume_tokens", std::to_string(row.answer.tokens()));
    commands.emplace_back(std::move(decision));
    ++row.attempts;
    if (upstream == nullptr) {
        upstreamFailed({ row.running.attempt, UpstreamFailure::Kind::NotConnected }, now, commands);
        return;
    }
    commands.emplace_back(makeDispatch(row, *upstream));
}

void IngressSystem::upstreamHead(const UpstreamHead &head, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.findByAttempt(head.attempt);
    if (row == nullptr) {
        return;
    }
    row->mayHaveReachedUpstream = true;
    endSilence(*row, now, commands);
    if (!head.echoedAttempt.empty() && head.echoedAttempt != head.attempt.text()) {
        Decision decision = makeDecision("crossed_answer", *row);
        addField(decision, "expected", head.attempt.text());
        addField(decision, "got", head.echoedAttempt);
        commands.emplace_back(std::move(decision));
        commands.emplace_back(UpstreamCancel { head.attempt });
        attemptLost(
            *row, { ResultCode::CrossedAnswer, "the upstream answered another request", std::nullopt }, now, commands);
        return;
    }
    row->head = head;
    const bool busy = head.status == HttpTooManyRequests || head.status == HttpUnavailable;
    if (row->phase != RequestPhase::Running || !busy || !row->requestClass.idempotent) {
        return;
    }
    commands.emplace_back(UpstreamCancel { head.attempt });
    row->excluded.push_back(row->running.upstream);
    seats_.end(*row, AttemptEnding::Refused, 0, commands);
    retry(*row,
          { ResultCode::UpstreamRefused, "the upstream accepts no work at present", DefaultRetryAfter },
          now,
          commands);
}

void IngressSystem::upstreamData(const UpstreamData &data, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.findByAttempt(data.attempt);
    if (row == nullptr) {
        return;
    }
    endSilence(*row, now, commands);
    if (isCompletionStream(*row)) {
        handleCompletionEvent(*row, data.data, now, commands);
        return;
    }
    recordFirstToken(*row, now, commands);
    if (row->body.size() + data.data.size() > MaxBodyBytes) {
        commands.emplace_back(UpstreamCancel { data.attempt });
        attemptLost(
            *row, { ResultCode::AnswerTooLarge, "the answer is larger than 16 MiB", std::nullopt }, now, commands);
        return;
    }
    row->body += data.data;
}

void IngressSystem::handleCompletionEvent(RequestRow &row, const std::string &data, TimePoint now, Commands &commands)
{
    const std::uint32_t tokensBefore = row.answer.tokens();
    const AnswerAssembler::Effect effect = row.answer.addEvent(data);
    if (row.answer.tokens() > tokensBefore) {
        ++row.running.tokens;
        recordFirstToken(row, now, commands);
    }
    switch (effect) {
    case AnswerAssembler::Effect::Skip:
        return;
    case AnswerAssembler::Effect::Complete:
        commands.emplace_back(UpstreamReadControl { row.running.attempt, true });
        finisher_.completeAssembled(row, now, commands);
        return;
    case AnswerAssembler::Effect::Invalid:
        commands.emplace_back(UpstreamCancel { row.running.attempt });
        attemptLost(
            row, { ResultCode::AnswerIncomplete, "the upstream sent an invalid event", std::nullopt }, now, commands);
        return;
    case AnswerAssembler::Effect::Forward:
        break;
    }
    if (!row.streamed()) {
        return;
    }
    if (!row.headSent) {
        row.headSent = true;
        ReplyHead head;
        head.request = row.call.request;
        head.contentType = "text/event-stream";
        head.streamed = true;
        commands.emplace_back(std::move(head));
    }
    commands.emplace_back(ReplyData { row.call.request, row.answer.event() });
}

void IngressSystem::recordFirstToken(RequestRow &row, TimePoint now, Commands &commands)
{
    if (row.running.firstToken) {
        return;
    }
    row.running.firstToken = now - row.running.dispatchedAt;
    if (!row.firstToken) {
        row.firstToken = now - row.arrivedAt;
    }
    if (row.phase != RequestPhase::Running) {
        return;
    }
    seats_.reportProgress(row, commands);
}

void IngressSystem::upstreamEnded(const UpstreamEnd &end, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.findByAttempt(end.attempt);
    if (row == nullptr) {
        return;
    }
    endSilence(*row, now, commands);
    if (isCompletionStream(*row)) {
        attemptLost(
            *row,
            { ResultCode::AnswerIncomplete, "the upstream's answer ended before it was complete", std::nullopt },
            now,
            commands);
        return;
    }
    // Once a part of the answer was sent or assembled, an unstreamed body cannot replace it.
    const bool hasPartialAnswer = row->headSent || row->answer.tokens() > 0;
    const bool engineFailed = row->phase == RequestPhase::Running && row->head.status >= HttpInternalError;
    if (row->requestClass.idempotent && (hasPartialAnswer || engineFailed)) {
        attemptLost(*row, { ResultCode::UpstreamLost, "the upstream failed", std::nullopt }, now, commands);
        return;
    }
    finisher_.completeWithAnswer(*row, { row->head.status, row->head.contentType, row->body }, now, commands);
}

void IngressSystem::upstreamFailed(const UpstreamFailure &failure, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.findByAttempt(failure.attempt);
    if (row == nullptr) {
        return;
    }
    const bool forwarded = row->phase == RequestPhase::Forwarded;
    const bool silent = failure.kind == UpstreamFailure::Kind::Silent;
    if (silent && row->requestClass.idempotent && !forwarded) {
        attemptSilent(*row, now, commands);
        return;
    }
    if (silent) {
        commands.emplace_back(UpstreamCancel { failure.attempt });
    } else if (row->phase == RequestPhase::WaitingForSeat) {
        // The seat that replaces the silent attempt has already been requested.
        seats_.end(*row, AttemptEnding::Lost, 0, commands);
        return;
    }
    if (failure.kind == UpstreamFailure::Kind::NotConnected) {
        if (forwarded) {
            row->mayHaveReachedUpstream = row->reachedUpstreamBeforeForward;
        }
        row->excluded.push_back(row->running.upstream);
        seats_.end(*row, AttemptEnding::Refused, 0, commands);
        retry(
            *row, { ResultCode::UpstreamRefused, "the upstream cannot be reached", DefaultRetryAfter }, now, commands);
        return;
    }
    row->mayHaveReachedUpstream = true;
    attemptLost(*row,
                { ResultCode::UpstreamLost, "the upstream was lost before its answer was complete", std::nullopt },
                now,
                commands);
}

void IngressSystem::attemptSilent(RequestRow &row, TimePoint now, Commands &commands)
{
    const bool isHandled = row.phase != RequestPhase::Running;
    if (isHandled) {
        return;
    }
    row.mayHaveReachedUpstream = true;
    row.running.silentSince = row.running.silentSince.value_or(now);
    if (now - *row.running.silentSince >= MaxSilence) {
        commands.emplace_back(UpstreamCancel { row.running.attempt });
        attemptLost(row, silenceError(), now, commands);
        return;
    }
    const Upstream *upstream = catalog_->upstreams().find(row.running.upstream);
    if (upstream == nullptr) {
        replaceSilentAttempt(row, false, now, commands);
        return;
    }
    // The connection may be dead although the upstream is healthy; only a new connection can tell.
    row.phase = RequestPhase::Probing;
    commands.emplace_back(UpstreamProbe { upstream->name, upstream->address });
}

void IngressSystem::replaceSilentAttempt(RequestRow &row, bool isUpstreamHealthy, TimePoint now, Commands &commands)
{
    const AttemptId attempt = row.running.attempt;
    if (finisher_.completeIfOnlyEndIsMissing(row, now, commands)) {
        commands.emplace_back(UpstreamCancel { attempt });
        return;
    }
    if (row.attempts >= MaxAttempts) {
        row.phase = RequestPhase::Running;
        return;
    }
    if (!isUpstreamHealthy) {
        row.excluded.push_back(row.running.upstream);
    }
    // The seat is freed first, since a healthy upstream may have no other one.
    seats_.release(row, AttemptEnding::Lost, commands);
    retry(row, silenceError(), now, commands);
}

void IngressSystem::keepSilentAttempt(RequestRow &row, TimePoint now, Commands &commands)
{
    if (row.phase == RequestPhase::WaitingForSeat) {
        std::erase(row.excluded, row.running.upstream);
        seats_.restore(row, now, commands);
        Decision decision = makeDecision("silent_attempt_kept", row);
        addField(decision, "attempt", row.running.attempt.text());
        addField(decision, "upstream", row.running.upstream.text());
        commands.emplace_back(std::move(decision));
    }
    row.phase = RequestPhase::Running;
}

void IngressSystem::endSilence(RequestRow &row, TimePoint now, Commands &commands)
{
    if (row.hasSilentAttempt()) {
        keepSilentAttempt(row, now, commands);
        row.running.silentSince.reset();
    }
}

void IngressSystem::probed(const ProbeResult &result, TimePoint now, Commands &commands)
{
    std::vector<RequestId> silentRequests;
    for (const auto &[id, row] : requests_) {
        if (row.phase == RequestPhase::Probing && row.running.upstream == result.upstream) {
            silentRequests.push_back(id);
        }
    }
    for (const RequestId &id : silentRequests) {
        RequestRow &row = *requests_.edit(id);
        Decision decision = makeDecision("silent_connection", row);
        addField(decision, "upstream", result.upstream.text());
        addField(decision, "answers_anew", result.answered ? "true" : "false");
        commands.emplace_back(std::move(decision));
        replaceSilentAttempt(row, result.answered, now, commands);
    }
}

void IngressSystem::attemptLost(RequestRow &row, const Error &cause, TimePoint now, Commands &commands)
{
    const RequestId request = row.call.request;
    if (!row.requestClass.idempotent) {
        seats_.end(row, AttemptEnding::Lost, 0, commands);
        if (row.phase != RequestPhase::Forwarded) {
            claims_.recordUnknownOutcome(request, now, commands);
        }
        Error error { ResultCode::OutcomeUnknown, cause.message + "; the call may have run", std::nullopt };
        finisher_.closeRequest(row, Outcome::Unknown, error.code, row.answer.tokens(), now, commands);
        commands.emplace_back(ReplyError { request, std::move(error), Outcome::Unknown });
        return;
    }
    if (finisher_.completeIfOnlyEndIsMissing(row, now, commands)) {
        return;
    }
    if (!row.running.upstream.empty()) {
        row.excluded.push_back(row.running.upstream);
    }
    seats_.end(row, AttemptEnding::Lost, 0, commands);
    retry(row, cause, now, commands);
}

void IngressSystem::retry(RequestRow &row, const Error &cause, TimePoint now, Commands &commands)
{
    if (!row.requestClass.idempotent) {
        finisher_.failRequest(row, cause, now, commands);
        return;
    }
    if (row.attempts >= MaxAttempts) {
        finisher_.failRequest(row, cause, now, commands);
        return;
    }
    if (row.mayHaveReachedUpstream) {
        row.deadline = std::max(row.deadline, now + MaxResumeWait);
    }
    Decision decision = makeDecision("retry", row);
    addField(decision, "cause", std::string(resultCodeName(cause.code)));
    addField(decision, "attempts", std::to_string(row.attempts));
    addField(decision, "tokens", std::to_string(row.answer.tokens()));
    commands.emplace_back(std::move(decision));
    requestSeat(row, now, commands);
}

// Claims.

void IngressSystem::claimNoticeReceived(const ClaimNotice &notice, TimePoint now, Commands &commands)
{
    std::visit([this, now, &commands](const auto &value) { handleNotice(value, now, commands); }, notice);
}

void IngressSystem::handleNotice(const ClaimAbsent &notice, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(notice.request);
    if (row != nullptr && row->phase == RequestPhase::LookingUp) {
        row->keyReadAt = notice.asOf;
        requestSeat(*row, now, commands);
    }
}

void IngressSystem::handleNotice(const ClaimHeld &notice, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(notice.request);
    if (row == nullptr || row->phase != RequestPhase::Claiming) {
        return;
    }
    if (claims_.startDispatch(notice.request, now, commands)) {
        dispatch(*row, now, commands);
        return;
    }
    seats_.end(*row, AttemptEnding::NotSent, 0, commands);
    finisher_.failRequest(
        *row,
        { ResultCode::DeadlineUnreachable, "the call could not be dispatched before the deadline", DefaultRetryAfter },
        now,
        commands);
}

void IngressSystem::handleNotice(const ClaimReplay &notice, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(notice.request);
    if (row == nullptr) {
        return;
    }
    seats_.end(*row, AttemptEnding::NotSent, 0, commands);
    commands.emplace_back(makeDecision("replay", *row));
    finisher_.closeRequest(*row, Outcome::Answered, ResultCode::Ok, 0, now, commands);
    replyWithAnswer(notice.request, notice.answer, Outcome::Answered, true, std::nullopt, commands);
}

void IngressSystem::handleNotice(const ClaimRefused &notice, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(notice.request);
    if (row == nullptr) {
        return;
    }
    seats_.end(*row, AttemptEnding::NotSent, 0, commands);
    finisher_.endWithError(*row, notice.error, notice.outcome, now, commands);
}

void IngressSystem::tick(TimePoint now, Commands &commands)
{
    std::vector<RequestId> expired;
    for (auto &[id, row] : requests_) {
        if (row.phase == RequestPhase::WaitingForSeat && now >= row.deadline) {
            expired.push_back(id);
            continue;
        }
        if (row.phase == RequestPhase::WaitingForSeat && row.hasSilentAttempt()) {
            continue;
        }
        if (row.phase == RequestPhase::WaitingForSeat) {
            forwarder_.forwardIfQueueIsSlow(row, now, commands);
            continue;
        }
        if (row.phase != RequestPhase::Running || now < row.running.progressDueAt) {
            continue;
        }
        row.running.progressDueAt = now + ProgressPeriod;
        seats_.reportProgress(row, commands);
    }
    for (const RequestId &id : expired) {
        RequestRow &row = *requests_.edit(id);
        if (row.hasSilentAttempt()) {
            keepSilentAttempt(row, now, commands);
            continue;
        }
        seats_.cancel(row, commands);
        finisher_.failRequest(
            row,
            { ResultCode::DeadlineUnreachable, "no seat became free before the deadline", DefaultRetryAfter },
            now,
            commands);
    }
}

std::optional<UpstreamName> IngressSystem::upstreamOf(const AttemptId &attempt) const
{
    const RequestRow *row = requests_.findByAttempt(attempt);
    if (row == nullptr || row->running.upstream.empty()) {
        return std::nullopt;
    }
    return row->running.upstream;
}

} // namespace GeraniumLever
