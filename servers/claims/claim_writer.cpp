#include "servers/claims/claim_writer.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

namespace {

constexpr Duration BatchDelay = std::chrono::milliseconds(5);
constexpr std::size_t MaxBatchWrites = 25;
constexpr Duration FirstRetryPause = std::chrono::milliseconds(250);
constexpr Duration LongestRetryPause = std::chrono::seconds(8);
constexpr unsigned MaxInsertTries = 4;

using Phase = OwnClaim::Phase;

/** The row as the phase's write leaves it. */
ClaimRow rowFor(const OwnClaim &claim)
{
    ClaimRow row = claim.row;
    if (claim.phase == Phase::Releasing) {
        row.state = ClaimState::Released;
    }
    return row;
}

/** The condition that holds after a write under the given one has taken effect. */
TableCondition conditionAfter(const TableCondition &condition)
{
    const std::uint64_t version = condition.kind == TableCondition::Kind::Absent ? 0 : condition.version;
    return { TableCondition::Kind::VersionIs, version + 1 };
}

/** True if a write under the condition could still take effect on the row as it was read. */
bool stillHolds(const TableCondition &condition, const TableRow *row)
{
    if (row == nullptr) {
        return condition.kind == TableCondition::Kind::Absent;
    }
    return condition.kind == TableCondition::Kind::VersionIs && condition.version == row->version;
}

const TableRow *findRow(const std::vector<TableRow> &rows, const std::string &key)
{
    const std::vector<TableRow>::const_iterator found =
        std::find_if(rows.begin(), rows.end(), [&key](const TableRow &row) { return row.key == key; });
    return found == rows.end() ? nullptr : &*found;
}

} // namespace

ClaimWriter::ClaimWriter(OperationCounter &operations) : operations_(operations) { }

void ClaimWriter::insert(const std::string &key, const ClaimRow &row, const TableCondition &condition, TimePoint now)
{
    OwnClaim claim;
    claim.key = key;
    claim.row = row;
    claim.condition = condition;
    claim.retryPause = FirstRetryPause;
    claims_.put(row.attempt, std::move(claim));
    active_.put(key, row.attempt);
    enqueue(row.attempt, now);
}

bool ClaimWriter::dispatch(const AttemptId &attempt)
{
    OwnClaim *claim = claims_.edit(attempt);
    if (claim == nullptr || claim->phase != Phase::Held) {
        return false;
    }
    claim->phase = Phase::Dispatched;
    return true;
}

void ClaimWriter::finish(const AttemptId &attempt, const RecordedAnswer &answer, TimePoint now, Commands &commands)
{
    OwnClaim *claim = claims_.edit(attempt);
    if (claim == nullptr || claim->phase != Phase::Dispatched) {
        return;
    }
    claim->answer = answer;
    claim->row.state = ClaimState::Answered;
    claim->row.answer = answer;
    if (fitsInRow(answer)) {
        claim->phase = Phase::Recording;
        enqueue(attempt, now);
        return;
    }
    claim->row.answer.body.clear();
    claim->row.object = "answer-" + attempt.text();
    claim->phase = Phase::StoringBody;
    sendBody(attempt, commands);
}

void ClaimWriter::markUnknown(const AttemptId &attempt, TimePoint now)
{
    OwnClaim *claim = claims_.edit(attempt);
    if (claim == nullptr || claim->phase != Phase::Dispatched) {
        return;
    }
    claim->row.state = ClaimState::Unknown;
    claim->phase = Phase::Recording;
    enqueue(attempt, now);
}

void ClaimWriter::abandon(const AttemptId &attempt, TimePoint now)
{
    OwnClaim *claim = claims_.edit(attempt);
    if (claim == nullptr || claim->phase > Phase::Dispatched) {
        return;
    }
    if (claim->phase == Phase::Inserting && std::erase(queue_, attempt) > 0) {
        // The insertion was never sent.
        erase(attempt);
        return;
    }
    forgetKey(*claim);
    claim->phase = Phase::Releasing;
    if (!claim->busy) {
        enqueue(attempt, now);
    }
}

bool ClaimWriter::isIn(const AttemptId &attempt, Phase phase) const
{
    const OwnClaim *claim = claims_.find(attempt);
    return claim != nullptr && claim->phase == phase;
}

ClaimStanding ClaimWriter::standingOf(const AttemptId &attempt) const
{
    const OwnClaim *claim = claims_.find(attempt);
    if (claim == nullptr) {
        return ClaimStanding::NotKnown;
    }
    switch (claim->phase) {
    case Phase::Inserting:
    case Phase::Held:
    case Phase::Dispatched:
        return ClaimStanding::Running;
    case Phase::StoringBody:
    case Phase::Recording:
        return ClaimStanding::Finished;
    case Phase::Releasing:
        return ClaimStanding::Abandoned;
    }
    return ClaimStanding::NotKnown;
}

const OwnClaim *ClaimWriter::activeFor(const std::string &key) const
{
    const AttemptId *attempt = active_.find(key);
    return attempt == nullptr ? nullptr : claims_.find(*attempt);
}

bool ClaimWriter::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
{
    const Operation *found = pending_.find(result.operation);
    if (found == nullptr) {
        return false;
    }
    const Operation operation = *found;
    pending_.erase(result.operation);
    switch (operation.kind) {
    case Operation::Kind::Batch:
        batchAnswered(operation, result, now, commands);
        break;
    case Operation::Kind::Settle:
        rowsRead(operation, result, now);
        break;
    case Operation::Kind::StoreBody:
        bodyStored(operation, result, now);
        break;
    }
    return true;
}

void ClaimWriter::tick(TimePoint now, Commands &commands)
{
    while (!retries_.empty() && retries_.begin()->first <= now) {
        const AttemptId attempt = retries_.begin()->second;
        retries_.erase(retries_.begin());
        resume(attempt, now, commands);
    }
    while (!queue_.empty() && (queue_.size() >= MaxBatchWrites || now - queuedSince_ >= BatchDelay)) {
        sendBatch(now, commands);
    }
}

std::vector<InsertResult> ClaimWriter::takeInsertResults()
{
    return std::exchange(results_, {});
}

void ClaimWriter::enqueue(const AttemptId &attempt, TimePoint now)
{
    if (queue_.empty()) {
        queuedSince_ = now;
    }
    claims_.edit(attempt)->busy = true;
    queue_.push_back(attempt);
}

void ClaimWriter::retryLater(const AttemptId &attempt, TimePoint now)
{
    OwnClaim &claim = *claims_.edit(attempt);
    claim.busy = true;
    retries_.emplace(now + claim.retryPause, attempt);
    claim.retryPause = std::min(claim.retryPause * 2, LongestRetryPause);
}

void ClaimWriter::resume(const AttemptId &attempt, TimePoint now, Commands &commands)
{
    const OwnClaim *claim = claims_.find(attempt);
    if (claim == nullptr) {
        return;
    }
    if (claim->phase == Phase::StoringBody) {
        sendBody(attempt, commands);
    } else {
        enqueue(attempt, now);
    }
}

void ClaimWriter::sendBatch(TimePoint now, Commands &commands)
{
    Operation operation;
    TableTransaction transaction { operations_.issue(), {} };
    std::set<std::string> keys;
    std::deque<AttemptId> rest;
    for (const AttemptId &attempt : queue_) {
        const OwnClaim &claim = *claims_.find(attempt);
        // A transaction must not name a row twice.
        if (operation.writes.size() >= MaxBatchWrites || !keys.insert(claim.key).second) {
            rest.push_back(attempt);
            continue;
        }
        operation.writes.push_back({ attempt, claim.phase });
        transaction.writes.push_back(
            { TableWrite::Action::Put, claim.key, formatClaimRow(rowFor(claim)), claim.condition });
    }
    queue_ = std::move(rest);
    queuedSince_ = now;
    pending_.put(transaction.operation, std::move(operation));
    commands.emplace_back(std::move(transaction));
}

void ClaimWriter::sendBody(const AttemptId &attempt, Commands &commands)
{
    OwnClaim &claim = *claims_.edit(attempt);
    claim.busy = true;
    const OperationId id = operations_.issue();
    Operation operation;
    operation.kind = Operation::Kind::StoreBody;
    operation.writes.push_back({ attempt, claim.phase });
    pending_.put(id, std::move(operation));
    commands.emplace_back(ObjectPut { id, claim.row.object, claim.answer->body });
}

void ClaimWriter::erase(const AttemptId &attempt)
{
    forgetKey(*claims_.find(attempt));
    claims_.erase(attempt);
}

void ClaimWriter::forgetKey(const OwnClaim &claim)
{
    const AttemptId *active = active_.find(claim.key);
    if (active != nullptr && *active == claim.row.attempt) {
        active_.erase(claim.key);
    }
}

void ClaimWriter::batchAnswered(const Operation &operation,
                                const StoreResult &result,
                                TimePoint now,
                                Commands &commands)
{
    if (result.status == StoreStatus::ConditionFailed || result.status == StoreStatus::Ambiguous) {
        Operation settling = operation;
        settling.ambiguous = result.status == StoreStatus::Ambiguous;
        settle(settling, commands);
        return;
    }
    for (const SentWrite &write : operation.writes) {
        claims_.edit(write.attempt)->busy = false;
        if (result.status == StoreStatus::Done) {
            writeDone(write, now);
        } else {
            writeRefused(write, now);
        }
    }
}

void ClaimWriter::settle(const Operation &operation, Commands &commands)
{
    TableGet get { operations_.issue(), {} };
    for (const SentWrite &write : operation.writes) {
        get.keys.push_back(claims_.find(write.attempt)->key);
    }
    Operation reading = operation;
    reading.kind = Operation::Kind::Settle;
    pending_.put(get.operation, std::move(reading));
    commands.emplace_back(std::move(get));
}

void ClaimWriter::bodyStored(const Operation &operation, const StoreResult &result, TimePoint now)
{
    const AttemptId attempt = operation.writes.front().attempt;
    if (result.status != StoreStatus::Done) {
        // The object's name belongs to this attempt alone, so a repeat can only store the same content again.
        retryLater(attempt, now);
        return;
    }
    claims_.edit(attempt)->phase = Phase::Recording;
    enqueue(attempt, now);
}

void ClaimWriter::rowsRead(const Operation &operation, const StoreResult &result, TimePoint now)
{
    for (const SentWrite &write : operation.writes) {
        OwnClaim &claim = *claims_.edit(write.attempt);
        claim.busy = false;
        if (result.status == StoreStatus::Done) {
            settleByRow(write, operation.ambiguous, findRow(result.rows, claim.key), now);
        } else if (operation.ambiguous) {
            writeInDoubt(write, now);
        } else {
            writeRefused(write, now);
        }
    }
}

void ClaimWriter::writeDone(const SentWrite &write, TimePoint now)
{
    OwnClaim &claim = *claims_.edit(write.attempt);
    claim.condition = conditionAfter(claim.condition);
    if (claim.phase != write.phase) {
        // Abandoned while its insertion was under way.
        enqueue(write.attempt, now);
        return;
    }
    if (claim.phase != Phase::Inserting) {
        erase(write.attempt);
        return;
    }
    claim.phase = Phase::Held;
    results_.emplace_back(InsertHeld { claim.row.request, write.attempt });
}

/** The write surely took no effect and never will. */
void ClaimWriter::writeRefused(const SentWrite &write, TimePoint now)
{
    if (write.phase != Phase::Inserting) {
        retryLater(write.attempt, now);
        return;
    }
    if (claims_.find(write.attempt)->phase == Phase::Inserting) {
        results_.emplace_back(InsertFailed { claims_.find(write.attempt)->row.request, write.attempt });
    }
    erase(write.attempt);
}

/** The write may have taken effect, or may yet, and its row cannot be read or does not show it. */
void ClaimWriter::writeInDoubt(const SentWrite &write, TimePoint now)
{
    OwnClaim &claim = *claims_.edit(write.attempt);
    if (claim.phase == Phase::Inserting) {
        forgetKey(claim);
        claim.phase = Phase::Releasing;
        results_.emplace_back(InsertFailed { claim.row.request, write.attempt });
    }
    retryLater(write.attempt, now);
}

void ClaimWriter::settleByRow(const SentWrite &write, bool ambiguous, const TableRow *row, TimePoint now)
{
    const OwnClaim &claim = *claims_.find(write.attempt);
    const std::optional<ClaimRow> found = row == nullptr ? std::nullopt : parseClaimRow(row->value);
    if (found && found->attempt == write.attempt && found->request == claim.row.request) {
        settleOwnRow(write, *found, row->version, now);
    } else if (stillHolds(claim.condition, row)) {
        settleUnchanged(write, ambiguous, now);
    } else {
        settleOvertaken(write, row);
    }
}

void ClaimWriter::settleOwnRow(const SentWrite &write, const ClaimRow &found, std::uint64_t version, TimePoint now)
{
    if (found.state != ClaimState::Claimed) {
        // The result or the release has taken effect already.
        erase(write.attempt);
        return;
    }
    OwnClaim &claim = *claims_.edit(write.attempt);
    claim.condition = { TableCondition::Kind::VersionIs, version };
    if (claim.phase != Phase::Inserting) {
        enqueue(write.attempt, now);
        return;
    }
    claim.phase = Phase::Held;
    results_.emplace_back(InsertHeld { claim.row.request, write.attempt });
}

void ClaimWriter::settleUnchanged(const SentWrite &write, bool ambiguous, TimePoint now)
{
    if (ambiguous) {
        writeInDoubt(write, now);
        return;
    }
    OwnClaim &claim = *claims_.edit(write.attempt);
    if (write.phase == Phase::Inserting && claim.phase == Phase::Releasing) {
        erase(write.attempt);
        return;
    }
    ++claim.insertTries;
    if (claim.phase == Phase::Inserting && claim.insertTries >= MaxInsertTries) {
        writeRefused(write, now);
        return;
    }
    // Only another write of the batch failed.
    enqueue(write.attempt, now);
}

void ClaimWriter::settleOvertaken(const SentWrite &write, const TableRow *row)
{
    const OwnClaim &claim = *claims_.find(write.attempt);
    if (claim.phase == Phase::Inserting) {
        if (row == nullptr) {
            results_.emplace_back(InsertFailed { claim.row.request, write.attempt });
        } else {
            results_.emplace_back(InsertLost { claim.row.request, write.attempt, *row });
        }
    }
    erase(write.attempt);
}

} // namespace GeraniumLever
