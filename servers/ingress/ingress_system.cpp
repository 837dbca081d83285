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
/** How long a begun request may wait for a seat to go on. */
constexpr Duration ResumePatience = std::chrono::seconds(15);
constexpr Duration PausePatience = std::chrono::minutes(5);
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

/** True if the answer comes as events of a completion, from an engine or from another node's engine. */
bool carriesEvents(const RequestRow &row)
{
    return row.completion && row.head.status == HttpOk
        && (row.phase != RequestPhase::Forwarded || isEventStream(row.head));
}

std::uint64_t digestOf(const CallerRequest &call)
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
    if (team->maxInFlight > 0 && requests_.countOf(team->name) >= team->maxInFlight) {
        Error error { ResultCode::TeamLimit, "the team has too many requests in flight", DefaultRetryAfter };
        commands.emplace_back(decide("reject", valueOf(admitted)));
        commands.emplace_back(ReplyError { call.request, std::move(error), Outcome::NotRun });
        return;
    }
    RequestRow &row = requests_.add(std::move(std::get<RequestRow>(admitted)));
    if (row.phase == RequestPhase::AskingStatus) {
        claims_.requestStatus(call.request, row.team, row.call.idempotencyKey, now, commands);
        return;
    }
    if (row.phase == RequestPhase::LookingUp) {
        const ClaimRequest claim { call.request, row.team, row.call.idempotencyKey, digestOf(call), row.deadline };
        claims_.lookUp(claim, now, commands);
        return;
    }
    askForSeat(row, now, commands);
}

void IngressSystem::callerGone(const CallerGone &event, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(event.request);
    if (row == nullptr) {
        return;
    }
    row->callerGone = true;
    if (row->phase != RequestPhase::AskingStatus && !row->requestClass.idempotent) {
        return;
    }
    if (row->phase == RequestPhase::WaitingForSeat) {
        seats_.cancel(*row, commands);
    }
    if (row->phase == RequestPhase::Running || row->phase == RequestPhase::Forwarded) {
        row->begun = true;
        commands.emplace_back(UpstreamCancel { row->running.attempt });
        seats_.end(*row, AttemptEnding::Cancelled, row->answer.tokens(), commands);
    }
    const Outcome outcome = row->begun ? Outcome::Failed : Outcome::NotRun;
    finisher_.forget(*row, outcome, ResultCode::CallerGone, row->answer.tokens(), now, commands);
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

void IngressSystem::askForSeat(RequestRow &row, TimePoint now, Commands &commands)
{
    if (seats_.ask(row, now, commands) || forwarder_.forward(row, row.deadline - now, now, commands)) {
        return;
    }
    finisher_.giveUp(
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
        finisher_.giveUp(
            *row, { ResultCode::DeadlineUnreachable, "no seat was free in time", DefaultRetryAfter }, now, commands);
        return;
    }
    if (!catalog_->upstreams().contains(grant.upstream)) {
        seats_.decline(from, grant, commands);
        row->excluded.push_back(grant.upstream);
        askForSeat(*row, now, commands);
        return;
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
    if (forwarder_.forward(*row, row->deadline - now, now, commands)) {
        return;
    }
    finisher_.giveUp(*row, { refusal.code, "no seat can be had in time", refusal.retryAfter }, now, commands);
}

void IngressSystem::attemptPaused(const AttemptPause &pause, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.ofAttempt(pause.attempt);
    const bool running = row != nullptr && row->phase == RequestPhase::Running;
    if (!running || !row->requestClass.idempotent || !row->completion) {
        return;
    }
    commands.emplace_back(UpstreamCancel { pause.attempt });
    if (finisher_.completeIfOnlyEndIsMissing(*row, now, commands)) {
        return;
    }
    Decision decision = decide("paused", *row);
    addField(decision, "attempt", pause.attempt.text());
    addField(decision, "tokens", std::to_string(row->answer.tokens()));
    commands.emplace_back(std::move(decision));
    seats_.end(*row, AttemptEnding::Paused, 0, commands);
    row->paused = true;
    row->begun = true;
    row->deadline = std::max(row->deadline, now + PausePatience);
    askForSeat(*row, now, commands);
}

void IngressSystem::schedulersChanged(const std::vector<NodeName> &lost, TimePoint now, Commands &commands)
{
    seats_.follow(lost, now, commands);
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
    Decision decision = decide("dispatch", row);
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
    RequestRow *row = requests_.ofAttempt(head.attempt);
    if (row == nullptr) {
        return;
    }
    row->begun = true;
    if (!head.echoedAttempt.empty() && head.echoedAttempt != head.attempt.text()) {
        Decision decision = decide("crossed_answer", *row);
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
    retry(*row, { ResultCode::UpstreamRefused, "the upstream takes no work", DefaultRetryAfter }, now, commands);
}

void IngressSystem::upstreamData(const UpstreamData &data, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.ofAttempt(data.attempt);
    if (row == nullptr) {
        return;
    }
    if (carriesEvents(*row)) {
        takeCompletionEvent(*row, data.data, now, commands);
        return;
    }
    noteFirstToken(*row, now, commands);
    if (row->body.size() + data.data.size() > MaxBodyBytes) {
        commands.emplace_back(UpstreamCancel { data.attempt });
        attemptLost(
            *row, { ResultCode::AnswerTooLarge, "the answer is larger than 16 MiB", std::nullopt }, now, commands);
        return;
    }
    row->body += data.data;
}

void IngressSystem::takeCompletionEvent(RequestRow &row, const std::string &data, TimePoint now, Commands &commands)
{
    const std::uint32_t tokensBefore = row.answer.tokens();
    const AnswerAssembler::Effect effect = row.answer.take(data);
    if (row.answer.tokens() > tokensBefore) {
        ++row.running.tokens;
        noteFirstToken(row, now, commands);
    }
    switch (effect) {
    case AnswerAssembler::Effect::Skip:
        return;
    case AnswerAssembler::Effect::Whole:
        commands.emplace_back(UpstreamReadControl { row.running.attempt, true });
        finisher_.completeCompletion(row, now, commands);
        return;
    case AnswerAssembler::Effect::Faulty:
        commands.emplace_back(UpstreamCancel { row.running.attempt });
        attemptLost(
            row, { ResultCode::AnswerIncomplete, "the upstream sent a faulty event", std::nullopt }, now, commands);
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

void IngressSystem::noteFirstToken(RequestRow &row, TimePoint now, Commands &commands)
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
    RequestRow *row = requests_.ofAttempt(end.attempt);
    if (row == nullptr) {
        return;
    }
    if (carriesEvents(*row)) {
        attemptLost(*row, { ResultCode::AnswerIncomplete, "the answer ended early", std::nullopt }, now, commands);
        return;
    }
    // Text that the caller or the assembler already has can only be followed by more of the same answer.
    const bool begunText = row->headSent || row->answer.tokens() > 0;
    const bool engineFailed = row->phase == RequestPhase::Running && row->head.status >= HttpInternalError;
    if (row->requestClass.idempotent && (begunText || engineFailed)) {
        attemptLost(*row, { ResultCode::UpstreamLost, "the upstream failed", std::nullopt }, now, commands);
        return;
    }
    finisher_.completeWhole(*row, { row->head.status, row->head.contentType, row->body }, now, commands);
}

void IngressSystem::upstreamFailed(const UpstreamFailure &failure, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.ofAttempt(failure.attempt);
    if (row == nullptr) {
        return;
    }
    const bool forwarded = row->phase == RequestPhase::Forwarded;
    if (failure.kind == UpstreamFailure::Kind::NotConnected) {
        if (forwarded) {
            row->begun = row->begunBeforeForward;
        }
        row->excluded.push_back(row->running.upstream);
        seats_.end(*row, AttemptEnding::Refused, 0, commands);
        retry(
            *row, { ResultCode::UpstreamRefused, "the upstream cannot be reached", DefaultRetryAfter }, now, commands);
        return;
    }
    row->begun = true;
    if (failure.kind == UpstreamFailure::Kind::Broken || forwarded || !row->requestClass.idempotent) {
        attemptLost(*row, { ResultCode::UpstreamLost, "the upstream was lost", std::nullopt }, now, commands);
        return;
    }
    // The connection may be dead although the upstream is well: only a new connection tells.
    const Upstream *upstream = catalog_->upstreams().find(row->running.upstream);
    commands.emplace_back(UpstreamCancel { failure.attempt });
    if (upstream == nullptr) {
        attemptLost(*row, { ResultCode::UpstreamTimeout, "the upstream fell silent", std::nullopt }, now, commands);
        return;
    }
    row->phase = RequestPhase::Probing;
    commands.emplace_back(UpstreamProbe { upstream->name, upstream->address });
}

void IngressSystem::probed(const ProbeResult &result, TimePoint now, Commands &commands)
{
    std::vector<RequestId> silent;
    for (const auto &[id, row] : requests_) {
        if (row.phase == RequestPhase::Probing && row.running.upstream == result.upstream) {
            silent.push_back(id);
        }
    }
    for (const RequestId &id : silent) {
        RequestRow &row = *requests_.edit(id);
        Decision decision = decide("silent_connection", row);
        addField(decision, "upstream", result.upstream.text());
        addField(decision, "answers_anew", result.answered ? "true" : "false");
        commands.emplace_back(std::move(decision));
        const Error cause { ResultCode::UpstreamTimeout, "the upstream fell silent", std::nullopt };
        attemptLost(row, cause, now, commands, result.answered);
    }
}

void IngressSystem::attemptLost(
    RequestRow &row, const Error &cause, TimePoint now, Commands &commands, bool upstreamWell)
{
    const RequestId request = row.call.request;
    if (!row.requestClass.idempotent) {
        seats_.end(row, AttemptEnding::Lost, 0, commands);
        if (row.phase != RequestPhase::Forwarded) {
            claims_.outcomeUnknown(request, now, commands);
        }
        Error error { ResultCode::OutcomeUnknown, cause.message + "; the call may have run", std::nullopt };
        finisher_.forget(row, Outcome::Unknown, error.code, row.answer.tokens(), now, commands);
        commands.emplace_back(ReplyError { request, std::move(error), Outcome::Unknown });
        return;
    }
    if (finisher_.completeIfOnlyEndIsMissing(row, now, commands)) {
        return;
    }
    if (!upstreamWell && !row.running.upstream.empty()) {
        row.excluded.push_back(row.running.upstream);
    }
    seats_.end(row, AttemptEnding::Lost, 0, commands);
    retry(row, cause, now, commands);
}

void IngressSystem::retry(RequestRow &row, const Error &cause, TimePoint now, Commands &commands)
{
    if (!row.requestClass.idempotent) {
        finisher_.giveUp(row, cause, now, commands);
        return;
    }
    if (row.attempts >= MaxAttempts) {
        finisher_.giveUp(row, cause, now, commands);
        return;
    }
    if (row.begun) {
        row.deadline = std::max(row.deadline, now + ResumePatience);
    }
    Decision decision = decide("retry", row);
    addField(decision, "cause", std::string(resultCodeName(cause.code)));
    addField(decision, "attempts", std::to_string(row.attempts));
    addField(decision, "tokens", std::to_string(row.answer.tokens()));
    commands.emplace_back(std::move(decision));
    askForSeat(row, now, commands);
}

// Claims.

void IngressSystem::claimNoticeReceived(const ClaimNotice &notice, TimePoint now, Commands &commands)
{
    std::visit([this, now, &commands](const auto &value) { takeNotice(value, now, commands); }, notice);
}

void IngressSystem::takeNotice(const ClaimAbsent &notice, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(notice.request);
    if (row != nullptr && row->phase == RequestPhase::LookingUp) {
        row->keyReadAt = notice.asOf;
        askForSeat(*row, now, commands);
    }
}

void IngressSystem::takeNotice(const ClaimHeld &notice, TimePoint now, Commands &commands)
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
    finisher_.giveUp(*row,
                     { ResultCode::DeadlineUnreachable, "the call could not be started in time", DefaultRetryAfter },
                     now,
                     commands);
}

void IngressSystem::takeNotice(const ClaimReplay &notice, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(notice.request);
    if (row == nullptr) {
        return;
    }
    seats_.end(*row, AttemptEnding::NotSent, 0, commands);
    commands.emplace_back(decide("replay", *row));
    finisher_.forget(*row, Outcome::Answered, ResultCode::Ok, 0, now, commands);
    replyWhole(notice.request, notice.answer, Outcome::Answered, true, std::nullopt, commands);
}

void IngressSystem::takeNotice(const ClaimRefused &notice, TimePoint now, Commands &commands)
{
    RequestRow *row = requests_.edit(notice.request);
    if (row == nullptr) {
        return;
    }
    seats_.end(*row, AttemptEnding::NotSent, 0, commands);
    finisher_.refuse(*row, notice.error, notice.outcome, now, commands);
}

void IngressSystem::tick(TimePoint now, Commands &commands)
{
    std::vector<RequestId> late;
    for (auto &[id, row] : requests_) {
        if (row.phase == RequestPhase::WaitingForSeat && now >= row.deadline) {
            late.push_back(id);
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
    for (const RequestId &id : late) {
        RequestRow &row = *requests_.edit(id);
        seats_.cancel(row, commands);
        finisher_.giveUp(
            row, { ResultCode::DeadlineUnreachable, "no seat was free in time", DefaultRetryAfter }, now, commands);
    }
}

std::optional<UpstreamName> IngressSystem::upstreamOf(const AttemptId &attempt) const
{
    const RequestRow *row = requests_.ofAttempt(attempt);
    if (row == nullptr || row->running.upstream.empty()) {
        return std::nullopt;
    }
    return row->running.upstream;
}

} // namespace GeraniumLever
