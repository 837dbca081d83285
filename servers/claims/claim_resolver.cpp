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

ClaimResolver::ClaimResolver(NodeName self, Incarnation incarnation, OperationCounter &operations, ClaimWriter &writer)
    : self_(std::move(self)), incarnation_(incarnation), operations_(operations), writer_(writer)
{
}

void ClaimResolver::lookUp(const ClaimRequest &request, TimePoint now, Commands &commands)
{
    ClaimCall call;
    call.request = request;
    call.kind = Kind::LookUp;
    call.lookUpStartedAt = now;
    call.timeout = request.deadline;
    startCall(std::move(call), commands);
}

void ClaimResolver::requestStatus(const ClaimRequest &request, TimePoint now, Commands &commands)
{
    ClaimCall call;
    call.request = request;
    call.kind = Kind::Status;
    call.timeout = now + StatusTimeout;
    startCall(std::move(call), commands);
}

void ClaimResolver::claim(const RequestId &request, const AttemptId &attempt, TimePoint now, Commands &commands)
{
    ClaimCall *call = calls_.edit(request);
    if (call == nullptr || call->stage != Stage::Claimable || writer_.hasAttempt(attempt)) {
        const Error error { ResultCode::ClaimStoreUnavailable,
                            "The call was not looked up before it was claimed.",
                            {} };
        notices_.emplace_back(ClaimRefused { request, error, Outcome::NotRun });
        return;
    }
    call->kind = Kind::Claim;
    call->attempt = attempt;
    if (now >= call->request.deadline) {
        finishCall(*call, deadlinePassedResolution(*call), commands);
        return;
    }
    const LocalClaim *localClaim = writer_.findActive(call->key);
    if (localClaim != nullptr) {
        decideByLocalClaim(*call, *localClaim, commands);
        return;
    }
    proceedUnclaimed(*call, call->condition, now, commands);
}

bool ClaimResolver::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
{
    const RequestId *found = requestByOperation_.find(result.operation);
    if (found == nullptr) {
        return false;
    }
    const RequestId request = *found;
    requestByOperation_.erase(result.operation);
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

void ClaimResolver::claimReplyReceived(const NodeName &from, const ClaimReply &reply, TimePoint now, Commands &commands)
{
    const std::set<RequestId> querying = queryingRequests_;
    for (const RequestId &request : querying) {
        const ClaimCall *call = calls_.find(request);
        if (call == nullptr || call->stage != Stage::Querying) {
            queryingRequests_.erase(request);
            continue;
        }
        if (call->row.holder == from && call->row.attempt == reply.attempt && call->key == reply.claimKey) {
            queryingRequests_.erase(request);
            decideByStanding(request, reply.standing, now, commands);
        }
    }
}

void ClaimResolver::nodeLost(const NodeName &node, Commands &commands)
{
    const std::set<RequestId> querying = queryingRequests_;
    for (const RequestId &request : querying) {
        const ClaimCall *call = calls_.find(request);
        if (call != nullptr && call->stage == Stage::Querying && call->row.holder == node) {
            queryingRequests_.erase(request);
            finishCall(*call, unknownResolution(*call, true), commands);
        }
    }
}

void ClaimResolver::tick(TimePoint now, Commands &commands)
{
    while (!timeouts_.empty() && timeouts_.begin()->first <= now) {
        const RequestId request = timeouts_.begin()->second;
        timeouts_.erase(timeouts_.begin());
        handleTimeout(request, now, commands);
    }
}

void ClaimResolver::takeInsertResults(TimePoint now, Commands &commands)
{
    for (const InsertResult &result : writer_.takeInsertResults()) {
        insertEnded(result, now, commands);
    }
}

void ClaimResolver::removeCall(RequestId request)
{
    queryingRequests_.erase(request);
    calls_.erase(request);
}

std::vector<ClaimNotice> ClaimResolver::takeNotices()
{
    return std::exchange(notices_, {});
}

std::vector<ClaimStatus> ClaimResolver::takeStatuses()
{
    return std::exchange(statuses_, {});
}

void ClaimResolver::startCall(ClaimCall call, Commands &commands)
{
    call.key = claimRowKey(call.request.team, call.request.idempotencyKey);
    const RequestId request = call.request.request;
    ClaimCall &stored = calls_.put(request, std::move(call));
    const LocalClaim *localClaim = writer_.findActive(stored.key);
    if (localClaim != nullptr) {
        decideByLocalClaim(stored, *localClaim, commands);
        return;
    }
    setTimeout(stored, stored.timeout);
    if (stored.kind == Kind::Status) {
        readRow(stored, commands);
    } else {
        registerCall(stored, { TableCondition::Kind::Absent, 0 }, commands);
    }
}

void ClaimResolver::registerCall(ClaimCall &call, const TableCondition &condition, Commands &commands)
{
    ++call.registrations;
    if (call.registrations > MaxRegistrations) {
        finishCall(call, unavailableResolution(call, Outcome::Unknown), commands);
        return;
    }
    ClaimRow row = makeRow(call);
    row.state = ClaimState::Released;
    call.stage = Stage::Registering;
    call.condition = condition;
    call.operation = operations_.issue();
    requestByOperation_.put(call.operation, call.request.request);
    const TableWrite write { TableWrite::Action::Put, call.key, formatClaimRow(row), condition };
    commands.emplace_back(TableTransaction { call.operation, { write } });
}

void ClaimResolver::registrationAnswered(const RequestId &request, const StoreResult &result, Commands &commands)
{
    ClaimCall &call = *calls_.edit(request);
    switch (result.status) {
    case StoreStatus::Done:
        call.stage = Stage::Claimable;
        call.condition = { TableCondition::Kind::VersionIs, call.condition.version + 1 };
        notices_.emplace_back(ClaimAbsent { request, call.lookUpStartedAt });
        return;
    case StoreStatus::ConditionFailed:
    case StoreStatus::Ambiguous:
        readRow(call, commands);
        return;
    case StoreStatus::Unavailable:
        finishCall(call, unavailableResolution(call, Outcome::Unknown), commands);
        return;
    }
}

void ClaimResolver::readRow(ClaimCall &call, Commands &commands)
{
    call.stage = Stage::Reading;
    call.operation = operations_.issue();
    requestByOperation_.put(call.operation, call.request.request);
    commands.emplace_back(TableGet { call.operation, { call.key } });
}

/** Decides by a claim for the key that this node holds itself. */
void ClaimResolver::decideByLocalClaim(const ClaimCall &call, const LocalClaim &claim, Commands &commands)
{
    if (call.kind != Kind::Status && claim.row.bodyDigest != call.request.bodyDigest) {
        finishCall(call, bodyMismatchResolution(call), commands);
    } else if (claim.answer) {
        finishCall(call, answeredResolution(call, *claim.answer), commands);
    } else if (claim.row.state == ClaimState::Unknown) {
        finishCall(call, unknownResolution(call, false), commands);
    } else {
        finishCall(call, runningResolution(call), commands);
    }
}

void ClaimResolver::decideByRow(const RequestId &request, const TableRow *row, TimePoint now, Commands &commands)
{
    ClaimCall &call = *calls_.edit(request);
    if (row == nullptr) {
        proceedUnclaimed(call, { TableCondition::Kind::Absent, 0 }, now, commands);
        return;
    }
    const std::optional<ClaimRow> found = parseClaimRow(row->value);
    if (!found) {
        finishCall(call, unknownResolution(call, false), commands);
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
        finishCall(call, bodyMismatchResolution(call), commands);
    } else if (found->state == ClaimState::Unknown) {
        finishCall(call, unknownResolution(call, false), commands);
    } else if (found->state == ClaimState::Claimed) {
        decideClaimed(call, now, commands);
    } else {
        replay(call, commands);
    }
}

/** Decides by a row that no attempt holds. */
void ClaimResolver::decideReleased(ClaimCall &call, TimePoint now, Commands &commands)
{
    const TableCondition condition { TableCondition::Kind::VersionIs, call.rowVersion };
    const bool registered = call.row.request == call.request.request && call.row.attempt.empty();
    if (call.kind == Kind::LookUp && registered) {
        call.stage = Stage::Claimable;
        call.condition = condition;
        notices_.emplace_back(ClaimAbsent { call.request.request, call.lookUpStartedAt });
    } else if (call.kind == Kind::Claim && !registered) {
        // A later request has registered. It may claim the row and run, or be refused; this request must not claim it.
        finishCall(call, runningResolution(call), commands);
    } else {
        proceedUnclaimed(call, condition, now, commands);
    }
}

/** Decides by a row that an attempt holds; only the holding node knows the attempt's standing. */
void ClaimResolver::decideClaimed(ClaimCall &call, TimePoint now, Commands &commands)
{
    if (call.standing == ClaimStanding::NotKnown) {
        finishCall(call, unknownResolution(call, false), commands);
        return;
    }
    if (call.standing == ClaimStanding::Finished) {
        finishCall(call, runningResolution(call), commands);
        return;
    }
    if (call.row.holder == self_ && call.row.incarnation != incarnation_) {
        finishCall(call, unknownResolution(call, false), commands);
        return;
    }
    if (call.row.holder == self_) {
        decideByStanding(call.request.request, writer_.standingOf(call.row.attempt), now, commands);
        return;
    }
    call.stage = Stage::Querying;
    queryingRequests_.insert(call.request.request);
    setTimeout(call, now + QueryTimeout);
    commands.emplace_back(PeerSend { call.row.holder, ClaimQuery { call.key, call.row.attempt } });
}

void ClaimResolver::decideByStanding(const RequestId &request,
                                     ClaimStanding standing,
                                     TimePoint now,
                                     Commands &commands)
{
    ClaimCall &call = *calls_.edit(request);
    switch (standing) {
    case ClaimStanding::Running:
        finishCall(call, runningResolution(call), commands);
        return;
    case ClaimStanding::Abandoned:
        if (call.kind == Kind::Claim) {
            // The abandoned claim belongs to a request that registered later.
            finishCall(call, runningResolution(call), commands);
            return;
        }
        proceedUnclaimed(call, { TableCondition::Kind::VersionIs, call.rowVersion }, now, commands);
        return;
    case ClaimStanding::Finished:
    case ClaimStanding::NotKnown:
        break;
    }
    ++call.rereads;
    if (call.rereads > MaxRereads) {
        finishCall(call, runningResolution(call), commands);
        return;
    }
    // The holder may have written the row after this node read it, so it is read again.
    call.standing = standing;
    setTimeout(call, now + QueryTimeout);
    readRow(call, commands);
}

void ClaimResolver::rowRead(const RequestId &request, const StoreResult &result, TimePoint now, Commands &commands)
{
    if (result.status != StoreStatus::Done) {
        const ClaimCall &call = *calls_.find(request);
        finishCall(call, unavailableResolution(call, Outcome::Unknown), commands);
        return;
    }
    decideByRow(request, result.rows.empty() ? nullptr : &result.rows.front(), now, commands);
}

void ClaimResolver::bodyRead(const RequestId &request, const StoreResult &result, Commands &commands)
{
    const ClaimCall &call = *calls_.find(request);
    if (result.status != StoreStatus::Done || !result.content) {
        finishCall(call, unavailableResolution(call, Outcome::Unknown), commands);
        return;
    }
    RecordedAnswer answer = call.row.answer;
    answer.body = *result.content;
    finishCall(call, answeredResolution(call, answer), commands);
}

void ClaimResolver::handleTimeout(const RequestId &request, TimePoint now, Commands &commands)
{
    const ClaimCall *call = calls_.find(request);
    if (call == nullptr || call->timeout > now) {
        return;
    }
    switch (call->stage) {
    case Stage::Registering:
    case Stage::Reading:
    case Stage::Fetching:
        finishCall(*call, unavailableResolution(*call, Outcome::Unknown), commands);
        return;
    case Stage::Querying:
        finishCall(*call, unknownResolution(*call, true), commands);
        return;
    case Stage::Claimable:
        return;
    case Stage::HandedToWriter:
        break;
    }
    if (!writer_.isInserting(call->attempt)) {
        return;
    }
    writer_.abandon(call->attempt, now);
    finishCall(*call, deadlinePassedResolution(*call), commands);
}

void ClaimResolver::insertEnded(const InsertResult &result, TimePoint now, Commands &commands)
{
    const RequestId request = std::visit([](const auto &each) { return each.request; }, result);
    const AttemptId attempt = std::visit([](const auto &each) { return each.attempt; }, result);
    const ClaimCall *call = calls_.find(request);
    if (call == nullptr || call->stage != Stage::HandedToWriter || call->attempt != attempt) {
        return;
    }
    if (std::holds_alternative<InsertHeld>(result)) {
        logDecision(*call, "held", commands);
        notices_.emplace_back(ClaimHeld { request, attempt });
    } else if (const InsertLost *lost = std::get_if<InsertLost>(&result)) {
        decideByRow(request, &lost->row, now, commands);
    } else {
        finishCall(*call, unavailableResolution(*call, Outcome::NotRun), commands);
    }
}

void ClaimResolver::replay(ClaimCall &call, Commands &commands)
{
    if (call.row.bodyObject.empty()) {
        finishCall(call, answeredResolution(call, call.row.answer), commands);
        return;
    }
    call.stage = Stage::Fetching;
    call.operation = operations_.issue();
    requestByOperation_.put(call.operation, call.request.request);
    commands.emplace_back(ObjectGet { call.operation, call.row.bodyObject });
}

void ClaimResolver::setTimeout(ClaimCall &call, TimePoint timeout)
{
    call.timeout = timeout;
    timeouts_.emplace(timeout, call.request.request);
}

void ClaimResolver::proceedUnclaimed(ClaimCall &call,
                                     const TableCondition &condition,
                                     TimePoint now,
                                     Commands &commands)
{
    if (call.kind == Kind::Status) {
        finishCall(call, notRunResolution(call, condition.kind == TableCondition::Kind::Absent), commands);
        return;
    }
    if (call.kind == Kind::LookUp) {
        registerCall(call, condition, commands);
        return;
    }
    if (now >= call.request.deadline) {
        finishCall(call, deadlinePassedResolution(call), commands);
        return;
    }
    call.stage = Stage::HandedToWriter;
    setTimeout(call, call.request.deadline);
    writer_.insert(call.key, makeRow(call), condition, now);
}

void ClaimResolver::finishCall(const ClaimCall &call, ClaimResolution resolution, Commands &commands)
{
    if (ClaimStatus *status = std::get_if<ClaimStatus>(&resolution)) {
        statuses_.push_back(std::move(*status));
    } else {
        ClaimNotice &notice = std::get<ClaimNotice>(resolution);
        const ClaimRefused *refused = std::get_if<ClaimRefused>(&notice);
        logDecision(call, refused == nullptr ? "replayed" : resultCodeName(refused->error.code), commands);
        notices_.push_back(std::move(notice));
    }
    removeCall(call.request.request);
}

void ClaimResolver::logDecision(const ClaimCall &call, std::string_view result, Commands &commands) const
{
    Decision decision {
        "claim", { { "request", call.request.request.text() }, { "row", call.key }, { "result", std::string(result) } }
    };
    if (!call.attempt.empty()) {
        decision.fields.emplace_back("attempt", call.attempt.text());
    }
    commands.emplace_back(std::move(decision));
}

ClaimRow ClaimResolver::makeRow(const ClaimCall &call) const
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
