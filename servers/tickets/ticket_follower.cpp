#include "servers/tickets/ticket_follower.h"

#include <algorithm>

#include "servers/tickets/ticket_rows.h"

namespace GeraniumLever {

namespace {

constexpr Duration PollPeriod = std::chrono::seconds(1);
constexpr std::uint32_t ScanRows = 200;
constexpr std::string_view Source = "table";

} // namespace

TicketFollower::TicketFollower(TicketApplier &applier, OperationCounter &operations)
    : applier_(applier), operations_(operations)
{
}

void TicketFollower::tick(bool shouldPoll, TimePoint now, Commands &commands)
{
    const bool due = now >= nextPoll_ && (shouldPoll || repairRequested_ || nextPoll_ == TimePoint());
    if (step_ != Step::Idle || !due) {
        return;
    }
    nextPoll_ = now + PollPeriod;
    step_ = Step::ReadingHead;
    operation_ = operations_.issue();
    commands.push_back(TableGet { operation_, { HeadKey } });
}

void TicketFollower::pollNow()
{
    nextPoll_ = TimePoint();
}

void TicketFollower::startRepair()
{
    repairRequested_ = true;
    pollNow();
}

void TicketFollower::saveSnapshot(Commands &commands)
{
    snapshotWriteOperation_ = operations_.issue();
    commands.push_back(
        ObjectPut { snapshotWriteOperation_, SnapshotObject, encodeSnapshot(applier_.chain().snapshot()) });
}

bool TicketFollower::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
{
    if (result.operation == snapshotWriteOperation_) {
        snapshotWriteOperation_ = OperationId();
        return true;
    }
    if (result.operation != operation_ || step_ == Step::Idle) {
        return false;
    }
    switch (step_) {
    case Step::Idle:
        break;
    case Step::ReadingHead:
        handleHead(result, now, commands);
        break;
    case Step::ReadingSnapshot:
        handleSnapshot(result, commands);
        break;
    case Step::ReadingTickets:
        handleTickets(result, commands);
        break;
    }
    return true;
}

void TicketFollower::handleHead(const StoreResult &result, TimePoint now, Commands &commands)
{
    if (result.status != StoreStatus::Done) {
        abortRead();
        return;
    }
    HeadRow row;
    if (!result.rows.empty()) {
        const std::optional<HeadRow> decoded = decodeHead(result.rows.front().value);
        if (!decoded.has_value()) {
            abortRead();
            return;
        }
        row = *decoded;
    }
    if (applier_.detectEpochMismatch(row.epoch, Source, now, commands)) {
        abortRead();
        return;
    }
    headReceived_ = true;
    lastReadFailed_ = false;
    storeHead_ = std::max(storeHead_, row.head);
    storeEpoch_ = row.epoch;
    if (repairRequested_) {
        repairRequested_ = false;
        repairChain_.emplace();
    }
    if (targetChain().head() >= targetHead()) {
        finishRead(commands);
        return;
    }
    if (targetChain().head() > TicketNumber()) {
        readTickets(commands);
        return;
    }
    step_ = Step::ReadingSnapshot;
    operation_ = operations_.issue();
    commands.push_back(ObjectGet { operation_, SnapshotObject });
}

void TicketFollower::handleSnapshot(const StoreResult &result, Commands &commands)
{
    // Without a snapshot, the whole chain is read from the table, which is slower and results in the same catalog.
    const std::optional<Snapshot> snapshot =
        result.content.has_value() ? decodeSnapshot(*result.content) : std::nullopt;
    // An object that remains from an earlier epoch of the table must not determine the epoch of the chain.
    const bool usable = snapshot.has_value() && snapshot->epoch == storeEpoch_ && snapshot->head <= targetHead();
    if (usable && repairChain_.has_value()) {
        repairChain_->install(*snapshot);
    } else if (usable) {
        applier_.install(*snapshot, "object", commands);
    }
    readTickets(commands);
}

void TicketFollower::handleTickets(const StoreResult &result, Commands &commands)
{
    if (result.status != StoreStatus::Done) {
        abortRead();
        return;
    }
    const TicketNumber before = targetChain().head();
    for (const TableRow &row : result.rows) {
        const std::optional<TicketRecord> record = decodeRecord(row);
        if (!record.has_value() || record->number > targetHead()) {
            break;
        }
        const ApplyResult applyResult = applyRecord(*record, commands);
        if (applyResult != ApplyResult::Done && applyResult != ApplyResult::AlreadyApplied) {
            break;
        }
    }
    if (targetChain().head() >= targetHead()) {
        finishRead(commands);
    } else if (targetChain().head() > before) {
        readTickets(commands);
    } else {
        abortRead();
    }
}

const TicketChain &TicketFollower::targetChain() const
{
    return repairChain_.has_value() ? *repairChain_ : applier_.chain();
}

TicketNumber TicketFollower::targetHead() const
{
    return repairChain_.has_value() ? applier_.chain().head() : storeHead_;
}

ApplyResult TicketFollower::applyRecord(const TicketRecord &record, Commands &commands)
{
    return repairChain_.has_value() ? repairChain_->apply(record) : applier_.apply(record, Source, commands);
}

void TicketFollower::readTickets(Commands &commands)
{
    step_ = Step::ReadingTickets;
    operation_ = operations_.issue();
    commands.push_back(TableScan { operation_, TicketKeyPrefix, ticketKey(targetChain().head()), ScanRows });
}

void TicketFollower::abortRead()
{
    step_ = Step::Idle;
    lastReadFailed_ = true;
    repairChain_.reset();
}

void TicketFollower::finishRead(Commands &commands)
{
    step_ = Step::Idle;
    if (repairChain_.has_value()) {
        applier_.repairFrom(*repairChain_, Source, commands);
        repairChain_.reset();
    }
}

} // namespace GeraniumLever
