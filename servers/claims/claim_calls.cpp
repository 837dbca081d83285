#include "servers/claims/claim_calls.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace GeraniumLever {

namespace {

using Kind = ClaimCall::Kind;
using Stage = ClaimCall::Stage;

constexpr Duration QueryTimeout = std::chrono::seconds(1);
constexpr Duration StatusTimeout = std::chrono::seconds(5);
constexpr Duration RunningRetryAfter = std::chrono::seconds(1);
constexpr Duration StoreRetryAfter = std::chrono::seconds(2);
constexpr Duration UnknownRetryAfter = std::chrono::seconds(5);
constexpr unsigned MaxRereads = 2;

/** Between one and two times the base, so that refused callers do not come back all at once. */
Duration spreadRetryAfter(Duration base, const RequestId &request)
{
    constexpr std::uint64_t Steps = 1000;
    const std::uint64_t step = std::hash<RequestId>()(request) % Steps;
    return base + base * static_cast<Duration::rep>(step) / static_cast<Duration::rep>(Steps);
}

Error deadlinePassed()
{
    return { ResultCode::DeadlineUnreachable, "The deadline passed before the call was started.", {} };
}

ClaimStatus statusOf(const ClaimCall &call)
{
    ClaimStatus status;
    status.request = call.request.request;
    return status;
}

} // namespace

ClaimCalls::ClaimCalls(NodeName self, Incarnation incarnation, OperationCounter &operations, ClaimWriter &writer)
    : self_(std::move(self)), incarnation_(incarnation), operations_(operations), writer_(writer)
{
}

void ClaimCalls::lookUp(const ClaimRequest &request, Commands &commands)
{
    ClaimCall call;
    call.request = request;
    call.kind = Kind::LookUp;
    call.timeout = request.deadline;
    begin(std::move(call), commands);
}

void ClaimCalls::statusAsked(const ClaimRequest &request, TimePoint now, Commands &commands)
{
    ClaimCall call;
    call.request = request;
    call.kind = Kind::Status;
    call.timeout = now + StatusTimeout;
    begin(std::move(call), commands);
}

void ClaimCalls::claim(const RequestId &request, const AttemptId &attempt, TimePoint now, Commands &commands)
{
    ClaimCall *call = calls_.edit(request);
    if (call == nullptr || call->stage != Stage::Claimable || writer_.knows(attempt)) {
        const Error error { ResultCode::ClaimStoreUnavailable,
                            "The call was not looked up before it was claimed.",
                            {} };
        notices_.emplace_back(ClaimRefused { request, error, Outcome::NotRun });
        return;
    }
    call->kind = Kind::Claim;
    call->attempt = attempt;
    if (now >= call->request.deadline) {
        refuse(*call, deadlinePassed(), Outcome::NotRun, commands);
        return;
    }
    const OwnClaim *own = writer_.activeFor(call->key);
    if (own != nullptr) {
        decideLocally(*call, *own, commands);
        return;
    }
    claimable(*call, call->condition, now, commands);
}

bool ClaimCalls::storeAnswered(const StoreResult &result, TimePoint now, Commands &commands)
{
    const RequestId *found = reads_.find(result.operation);
    if (found == nullptr) {
        return false;
    }
    const RequestId request = *found;
    reads_.erase(result.operation);
    const ClaimCall *call = calls_.find(request);
    if (call == nullptr || call->operation != result.operation) {
        return true;
    }
    if (call->stage == Stage::Reading) {
        rowRead(request, result, now, commands);
    } else if (call->stage == Stage::Fetching) {
        bodyRead(request, result, commands);
    }
    return true;
}

void ClaimCalls::replied(const NodeName &from, const ClaimReply &reply, TimePoint now, Commands &commands)
{
    const std::set<RequestId> querying = querying_;
    for (const RequestId &request : querying) {
        const ClaimCall *call = calls_.find(request);
        if (call == nullptr || call->stage != Stage::Querying) {
            querying_.erase(request);
            continue;
        }
        if (call->row.holder == from && call->row.attempt == reply.attempt && call->key == reply.claimKey) {
            querying_.erase(request);
            decideStanding(request, reply.standing, now, commands);
        }
    }
}

void ClaimCalls::nodeLost(const NodeName &node, Commands &commands)
{
    const std::set<RequestId> querying = querying_;
    for (const RequestId &request : querying) {
        const ClaimCall *call = calls_.find(request);
        if (call != nullptr && call->stage == Stage::Querying && call->row.holder == node) {
            querying_.erase(request);
            unknown(*call, true, commands);
        }
    }
}

void ClaimCalls::tick(TimePoint now, Commands &commands)
{
    while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
        const RequestId request = timeouts_.begin()->second;
        timeouts_.erase(timeouts_.begin());
        giveUp(request, now, commands);
    }
}

void ClaimCalls::takeInsertResults(TimePoint now, Commands &commands)
{
    for (const InsertResult &result : writer_.takeInsertResults()) {
        insertEnded(result, now, commands);
    }
}

void ClaimCalls::forget(RequestId request)
{
    querying_.erase(request);
    calls_.erase(request);
}

std::vector<ClaimNotice> ClaimCalls::takeNotices()
{
    return std::exchange(notices_, {});
}

std::vector<ClaimStatus> ClaimCalls::takeStatuses()
{
    return std::exchange(statuses_, {});
}

void ClaimCalls::begin(ClaimCall call, Commands &commands)
{
    call.key = claimRowKey(call.request.team, call.request.idempotencyKey);
    const RequestId request = call.request.request;
    ClaimCall &stored = calls_.put(request, std::move(call));
    const OwnClaim *own = writer_.activeFor(stored.key);
    if (own != nullptr) {
        decideLocally(stored, *own, commands);
        return;
    }
    wait(stored, stored.timeout);
    readRow(stored, commands);
}

void ClaimCalls::readRow(ClaimCall &call, Commands &commands)
{
    call.stage = Stage::Reading;
    call.operation = operations_.issue();
    reads_.put(call.operation, call.request.request);
    commands.emplace_back(TableGet { call.operation, { call.key } });
}

/** The key's claim is this node's own. */
void ClaimCalls::decideLocally(const ClaimCall &call, const OwnClaim &claim, Commands &commands)
{
    if (call.kind != Kind::Status && claim.row.bodyDigest != call.request.bodyDigest) {
        refuseOtherBody(call, commands);
    } else if (claim.answer) {
        answered(call, *claim.answer, commands);
    } else if (claim.row.state == ClaimState::Unknown) {
        unknown(call, false, commands);
    } else {
        running(call, commands);
    }
}

void ClaimCalls::decide(const RequestId &request, const TableRow *row, TimePoint now, Commands &commands)
{
    ClaimCall &call = *calls_.edit(request);
    if (row == nullptr) {
        claimable(call, { TableCondition::Kind::Absent, 0 }, now, commands);
        return;
    }
    const std::optional<ClaimRow> found = parseClaimRow(row->value);
    if (!found) {
        unknown(call, false, commands);
        return;
    }
    if (row->version != call.rowVersion) {
        call.standing.reset();
    }
    call.row = *found;
    call.rowVersion = row->version;
    if (found->state == ClaimState::Released) {
        claimable(call, { TableCondition::Kind::VersionIs, row->version }, now, commands);
    } else if (call.kind != Kind::Status && found->bodyDigest != call.request.bodyDigest) {
        refuseOtherBody(call, commands);
    } else if (found->state == ClaimState::Unknown) {
        unknown(call, false, commands);
    } else if (found->state == ClaimState::Claimed) {
        decideClaimed(call, now, commands);
    } else {
        replay(call, commands);
    }
}

/** Somebody holds the claim, and only that node knows what became of it. */
void ClaimCalls::decideClaimed(ClaimCall &call, TimePoint now, Commands &commands)
{
    if (call.standing == ClaimStanding::NotKnown) {
        unknown(call, false, commands);
        return;
    }
    if (call.standing == ClaimStanding::Finished) {
        running(call, commands);
        return;
    }
    if (call.row.holder == self_ && call.row.incarnation != incarnation_) {
        unknown(call, false, commands);
        return;
    }
    if (call.row.holder == self_) {
        decideStanding(call.request.request, writer_.standingOf(call.row.attempt), now, commands);
        return;
    }
    call.stage = Stage::Querying;
    querying_.insert(call.request.request);
    wait(call, now + QueryTimeout);
    commands.emplace_back(PeerSend { call.row.holder, ClaimQuery { call.key, call.row.attempt } });
}

void ClaimCalls::decideStanding(const RequestId &request, ClaimStanding standing, TimePoint now, Commands &commands)
{
    ClaimCall &call = *calls_.edit(request);
    switch (standing) {
    case ClaimStanding::Running:
        running(call, commands);
        return;
    case ClaimStanding::Abandoned:
        claimable(call, { TableCondition::Kind::VersionIs, call.rowVersion }, now, commands);
        return;
    case ClaimStanding::Finished:
    case ClaimStanding::NotKnown:
        break;
    }
    ++call.rereads;
    if (call.rereads > MaxRereads) {
        running(call, commands);
        return;
    }
    // The holder may have written the row after it was read here.
    call.standing = standing;
    wait(call, now + QueryTimeout);
    readRow(call, commands);
}

void ClaimCalls::rowRead(const RequestId &request, const StoreResult &result, TimePoint now, Commands &commands)
{
    if (result.status != StoreStatus::Done) {
        unavailable(*calls_.find(request), Outcome::Unknown, commands);
        return;
    }
    decide(request, result.rows.empty() ? nullptr : &result.rows.front(), now, commands);
}

void ClaimCalls::bodyRead(const RequestId &request, const StoreResult &result, Commands &commands)
{
    const ClaimCall &call = *calls_.find(request);
    if (result.status != StoreStatus::Done || !result.content) {
        unavailable(call, Outcome::Unknown, commands);
        return;
    }
    RecordedAnswer answer = call.row.answer;
    answer.body = *result.content;
    answered(call, answer, commands);
}

void ClaimCalls::giveUp(const RequestId &request, TimePoint now, Commands &commands)
{
    const ClaimCall *call = calls_.find(request);
    if (call == nullptr || call->timeout > now) {
        return;
    }
    switch (call->stage) {
    case Stage::Reading:
    case Stage::Fetching:
        unavailable(*call, Outcome::Unknown, commands);
        return;
    case Stage::Querying:
        unknown(*call, true, commands);
        return;
    case Stage::Claimable:
        return;
    case Stage::Owner:
        break;
    }
    if (!writer_.isInserting(call->attempt)) {
        return;
    }
    writer_.abandon(call->attempt, now);
    refuse(*call, deadlinePassed(), Outcome::NotRun, commands);
}

void ClaimCalls::insertEnded(const InsertResult &result, TimePoint now, Commands &commands)
{
    const RequestId request = std::visit([](const auto &each) { return each.request; }, result);
    const AttemptId attempt = std::visit([](const auto &each) { return each.attempt; }, result);
    const ClaimCall *call = calls_.find(request);
    if (call == nullptr || call->stage != Stage::Owner || call->attempt != attempt) {
        return;
    }
    if (std::holds_alternative<InsertHeld>(result)) {
        log(*call, "held", commands);
        notices_.emplace_back(ClaimHeld { request, attempt });
    } else if (const InsertLost *lost = std::get_if<InsertLost>(&result)) {
        decide(request, &lost->row, now, commands);
    } else {
        unavailable(*call, Outcome::NotRun, commands);
    }
}

void ClaimCalls::replay(ClaimCall &call, Commands &commands)
{
    if (call.row.object.empty()) {
        answered(call, call.row.answer, commands);
        return;
    }
    call.stage = Stage::Fetching;
    call.operation = operations_.issue();
    reads_.put(call.operation, call.request.request);
    commands.emplace_back(ObjectGet { call.operation, call.row.object });
}

void ClaimCalls::wait(ClaimCall &call, TimePoint timeout)
{
    call.timeout = timeout;
    timeouts_.emplace(timeout, call.request.request);
}

void ClaimCalls::claimable(ClaimCall &call, const TableCondition &condition, TimePoint now, Commands &commands)
{
    call.condition = condition;
    if (call.kind == Kind::Status) {
        ClaimStatus status = statusOf(call);
        if (condition.kind != TableCondition::Kind::Absent) {
            status.outcome = Outcome::NotRun;
        }
        endWithStatus(call, std::move(status));
        return;
    }
    if (call.kind == Kind::LookUp) {
        call.stage = Stage::Claimable;
        notices_.emplace_back(ClaimAbsent { call.request.request });
        return;
    }
    if (now >= call.request.deadline) {
        refuse(call, deadlinePassed(), Outcome::NotRun, commands);
        return;
    }
    call.stage = Stage::Owner;
    wait(call, call.request.deadline);
    writer_.insert(call.key, rowFor(call), condition, now);
}

void ClaimCalls::answered(const ClaimCall &call, const RecordedAnswer &answer, Commands &commands)
{
    if (call.kind == Kind::Status) {
        ClaimStatus status = statusOf(call);
        status.outcome = Outcome::Answered;
        status.answer = answer;
        endWithStatus(call, std::move(status));
        return;
    }
    log(call, "replayed", commands);
    notices_.emplace_back(ClaimReplay { call.request.request, answer });
    forget(call.request.request);
}

void ClaimCalls::running(const ClaimCall &call, Commands &commands)
{
    if (call.kind == Kind::Status) {
        ClaimStatus status = statusOf(call);
        status.running = true;
        endWithStatus(call, std::move(status));
        return;
    }
    const Duration retryAfter = spreadRetryAfter(RunningRetryAfter, call.request.request);
    refuse(call,
           { ResultCode::ClaimRunning, "An earlier call under this key is still running.", retryAfter },
           Outcome::Unknown,
           commands);
}

void ClaimCalls::unknown(const ClaimCall &call, bool mayBeSettledLater, Commands &commands)
{
    if (call.kind == Kind::Status) {
        ClaimStatus status = statusOf(call);
        status.outcome = Outcome::Unknown;
        endWithStatus(call, std::move(status));
        return;
    }
    Error error { ResultCode::OutcomeUnknown, "It is not known whether the call under this key ran.", {} };
    if (mayBeSettledLater) {
        error.retryAfter = spreadRetryAfter(UnknownRetryAfter, call.request.request);
    }
    refuse(call, std::move(error), Outcome::Unknown, commands);
}

void ClaimCalls::unavailable(const ClaimCall &call, Outcome outcome, Commands &commands)
{
    const Duration retryAfter = spreadRetryAfter(StoreRetryAfter, call.request.request);
    const std::string_view message = outcome == Outcome::NotRun
        ? "The call was not run: the table service is not available."
        : "The table service is not available to tell whether an earlier call under this key ran.";
    Error error { ResultCode::ClaimStoreUnavailable, std::string(message), retryAfter };
    if (call.kind == Kind::Status) {
        ClaimStatus status = statusOf(call);
        status.error = std::move(error);
        endWithStatus(call, std::move(status));
        return;
    }
    refuse(call, std::move(error), outcome, commands);
}

void ClaimCalls::refuseOtherBody(const ClaimCall &call, Commands &commands)
{
    refuse(call,
           { ResultCode::KeyReusedWithOtherBody, "The key belongs to a call with another body.", {} },
           Outcome::NotRun,
           commands);
}

void ClaimCalls::refuse(const ClaimCall &call, Error error, Outcome outcome, Commands &commands)
{
    log(call, resultCodeName(error.code), commands);
    notices_.emplace_back(ClaimRefused { call.request.request, std::move(error), outcome });
    forget(call.request.request);
}

void ClaimCalls::endWithStatus(const ClaimCall &call, ClaimStatus status)
{
    statuses_.push_back(std::move(status));
    forget(call.request.request);
}

void ClaimCalls::log(const ClaimCall &call, std::string_view result, Commands &commands) const
{
    Decision decision {
        "claim", { { "request", call.request.request.text() }, { "row", call.key }, { "result", std::string(result) } }
    };
    if (!call.attempt.empty()) {
        decision.fields.emplace_back("attempt", call.attempt.text());
    }
    commands.emplace_back(std::move(decision));
}

ClaimRow ClaimCalls::rowFor(const ClaimCall &call) const
{
    ClaimRow row;
    row.bodyDigest = call.request.bodyDigest;
    row.attempt = call.attempt;
    row.request = call.request.request;
    row.holder = self_;
    row.incarnation = incarnation_;
    return row;
}

} // namespace GeraniumLever
