#include "servers/claims/claim_resolver.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace GeraniumLever {

namespace {

using Kind = ClaimCall::Kind;
using Stage = ClaimCall::Stage;

constexpr Duration QueryTimeout = std::chrono::seconds(1);
constexpr Duration StatusTimeout = std::chrono::seconds(5);
constexpr unsigned MaxRereads = 2;
constexpr unsigned MaxRegistrations = 4;

} // namespace

ClaimCalls::ClaimCalls(NodeName self, Incarnation incarnation, OperationCounter &operations, ClaimWriter &writer)
    : self_(std::move(self)), incarnation_(incarnation), operations_(operations), writer_(writer)
{
}

void ClaimCalls::lookUp(const ClaimRequest &request, TimePoint now, Commands &commands)
{
    ClaimCall call;
    call.request = request;
    call.kind = Kind::LookUp;
    call.askedAt = now;
    call.timeout = request.deadline;
    begin(std::move(call), commands);
}

void ClaimCalls::requestStatus(const ClaimRequest &request, TimePoint now, Commands &commands)
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
        end(*call, endTooLate(*call), commands);
        return;
    }
    const OwnClaim *own = writer_.activeFor(call->key);
    if (own != nullptr) {
        decideLocally(*call, *own, commands);
        return;
    }
    claimable(*call, call->condition, now, commands);
}

bool ClaimCalls::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
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
    if (call->stage == Stage::Registering) {
        registrationAnswered(request, result, commands);
    } else if (call->stage == Stage::Reading) {
        rowRead(request, result, now, commands);
    } else if (call->stage == Stage::Fetching) {
        bodyRead(request, result, commands);
    }
    return true;
}

void ClaimCalls::claimReplyReceived(const NodeName &from, const ClaimReply &reply, TimePoint now, Commands &commands)
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
            end(*call, endUnknown(*call, true), commands);
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
    if (stored.kind == Kind::Status) {
        readRow(stored, commands);
    } else {
        registerCall(stored, { TableCondition::Kind::Absent, 0 }, commands);
    }
}

void ClaimCalls::registerCall(ClaimCall &call, const TableCondition &condition, Commands &commands)
{
    ++call.registrations;
    if (call.registrations > MaxRegistrations) {
        end(call, endUnavailable(call, Outcome::Unknown), commands);
        return;
    }
    ClaimRow row = rowFor(call);
    row.state = ClaimState::Released;
    call.stage = Stage::Registering;
    call.condition = condition;
    call.operation = operations_.issue();
    reads_.put(call.operation, call.request.request);
    const TableWrite write { TableWrite::Action::Put, call.key, formatClaimRow(row), condition };
    commands.emplace_back(TableTransaction { call.operation, { write } });
}

void ClaimCalls::registrationAnswered(const RequestId &request, const StoreResult &result, Commands &commands)
{
    ClaimCall &call = *calls_.edit(request);
    switch (result.status) {
    case StoreStatus::Done:
        call.stage = Stage::Claimable;
        call.condition = { TableCondition::Kind::VersionIs, call.condition.version + 1 };
        notices_.emplace_back(ClaimAbsent { request, call.askedAt });
        return;
    case StoreStatus::ConditionFailed:
    case StoreStatus::Ambiguous:
        readRow(call, commands);
        return;
    case StoreStatus::Unavailable:
        end(call, endUnavailable(call, Outcome::Unknown), commands);
        return;
    }
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
        end(call, endOtherBody(call), commands);
    } else if (claim.answer) {
        end(call, endAnswered(call, *claim.answer), commands);
    } else if (claim.row.state == ClaimState::Unknown) {
        end(call, endUnknown(call, false), commands);
    } else {
        end(call, endRunning(call), commands);
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
        end(call, endUnknown(call, false), commands);
        return;
    }
    if (row->version != call.rowVersion) {
        call.standing.reset();
    }
    call.row = *found;
    call.rowVersion = row->version;
    if (found->state == ClaimState::Released) {
        decideReleased(call, now, commands);
    } else if (call.kind != Kind::Status && found->bodyDigest != call.request.bodyDigest) {
        end(call, endOtherBody(call), commands);
    } else if (found->state == ClaimState::Unknown) {
        end(call, endUnknown(call, false), commands);
    } else if (found->state == ClaimState::Claimed) {
        decideClaimed(call, now, commands);
    } else {
        replay(call, commands);
    }
}

/** Nobody holds the claim. */
void ClaimCalls::decideReleased(ClaimCall &call, TimePoint now, Commands &commands)
{
    const TableCondition condition { TableCondition::Kind::VersionIs, call.rowVersion };
    const bool registered = call.row.request == call.request.request && call.row.attempt.empty();
    if (call.kind == Kind::LookUp && registered) {
        call.stage = Stage::Claimable;
        call.condition = condition;
        notices_.emplace_back(ClaimAbsent { call.request.request, call.askedAt });
    } else if (call.kind == Kind::Claim && !registered) {
        // A later request has registered. It may run, be refused or claim; this one must not.
        end(call, endRunning(call), commands);
    } else {
        claimable(call, condition, now, commands);
    }
}

/** Somebody holds the claim, and only that node knows what became of it. */
void ClaimCalls::decideClaimed(ClaimCall &call, TimePoint now, Commands &commands)
{
    if (call.standing == ClaimStanding::NotKnown) {
        end(call, endUnknown(call, false), commands);
        return;
    }
    if (call.standing == ClaimStanding::Finished) {
        end(call, endRunning(call), commands);
        return;
    }
    if (call.row.holder == self_ && call.row.incarnation != incarnation_) {
        end(call, endUnknown(call, false), commands);
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
        end(call, endRunning(call), commands);
        return;
    case ClaimStanding::Abandoned:
        if (call.kind == Kind::Claim) {
            // It belongs to a request that has registered later.
            end(call, endRunning(call), commands);
            return;
        }
        claimable(call, { TableCondition::Kind::VersionIs, call.rowVersion }, now, commands);
        return;
    case ClaimStanding::Finished:
    case ClaimStanding::NotKnown:
        break;
    }
    ++call.rereads;
    if (call.rereads > MaxRereads) {
        end(call, endRunning(call), commands);
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
        const ClaimCall &call = *calls_.find(request);
        end(call, endUnavailable(call, Outcome::Unknown), commands);
        return;
    }
    decide(request, result.rows.empty() ? nullptr : &result.rows.front(), now, commands);
}

void ClaimCalls::bodyRead(const RequestId &request, const StoreResult &result, Commands &commands)
{
    const ClaimCall &call = *calls_.find(request);
    if (result.status != StoreStatus::Done || !result.content) {
        end(call, endUnavailable(call, Outcome::Unknown), commands);
        return;
    }
    RecordedAnswer answer = call.row.answer;
    answer.body = *result.content;
    end(call, endAnswered(call, answer), commands);
}

void ClaimCalls::giveUp(const RequestId &request, TimePoint now, Commands &commands)
{
    const ClaimCall *call = calls_.find(request);
    if (call == nullptr || call->timeout > now) {
        return;
    }
    switch (call->stage) {
    case Stage::Registering:
    case Stage::Reading:
    case Stage::Fetching:
        end(*call, endUnavailable(*call, Outcome::Unknown), commands);
        return;
    case Stage::Querying:
        end(*call, endUnknown(*call, true), commands);
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
    end(*call, endTooLate(*call), commands);
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
        end(*call, endUnavailable(*call, Outcome::NotRun), commands);
    }
}

void ClaimCalls::replay(ClaimCall &call, Commands &commands)
{
    if (call.row.object.empty()) {
        end(call, endAnswered(call, call.row.answer), commands);
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
    if (call.kind == Kind::Status) {
        end(call, endFree(call, condition.kind == TableCondition::Kind::Absent), commands);
        return;
    }
    if (call.kind == Kind::LookUp) {
        registerCall(call, condition, commands);
        return;
    }
    if (now >= call.request.deadline) {
        end(call, endTooLate(call), commands);
        return;
    }
    call.stage = Stage::Owner;
    wait(call, call.request.deadline);
    writer_.insert(call.key, rowFor(call), condition, now);
}

void ClaimCalls::end(const ClaimCall &call, ClaimEnd end, Commands &commands)
{
    if (ClaimStatus *status = std::get_if<ClaimStatus>(&end)) {
        statuses_.push_back(std::move(*status));
    } else {
        ClaimNotice &notice = std::get<ClaimNotice>(end);
        const ClaimRefused *refused = std::get_if<ClaimRefused>(&notice);
        log(call, refused == nullptr ? "replayed" : resultCodeName(refused->error.code), commands);
        notices_.push_back(std::move(notice));
    }
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
