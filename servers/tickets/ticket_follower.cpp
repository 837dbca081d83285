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

void TicketFollower::tick(bool wanted, TimePoint now, Commands &commands)
{
    const bool due = now >= nextPoll_ && (wanted || repairWanted_ || nextPoll_ == TimePoint());
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
    repairWanted_ = true;
    pollNow();
}

void TicketFollower::saveSnapshot(Commands &commands)
{
    snapshotWrite_ = operations_.issue();
    commands.push_back(ObjectPut { snapshotWrite_, SnapshotObject, encodeSnapshot(applier_.chain().snapshot()) });
}

bool TicketFollower::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
{
    if (result.operation == snapshotWrite_) {
        snapshotWrite_ = OperationId();
        return true;
    }
    if (result.operation != operation_ || step_ == Step::Idle) {
        return false;
    }
    switch (step_) {
    case Step::Idle:
        break;
    case Step::ReadingHead:
        headRead(result, now, commands);
        break;
    case Step::ReadingSnapshot:
        snapshotRead(result, commands);
        break;
    case Step::ReadingTickets:
        ticketsRead(result, commands);
        break;
    }
    return true;
}

void TicketFollower::headRead(const StoreResult &result, TimePoint now, Commands &commands)
{
    if (result.status != StoreStatus::Done) {
        fail();
        return;
    }
    HeadRow row;
    if (!result.rows.empty()) {
        const std::optional<HeadRow> decoded = decodeHead(result.rows.front().value);
        if (!decoded.has_value()) {
            fail();
            return;
        }
        row = *decoded;
    }
    if (applier_.epochMismatches(row.epoch, Source, now, commands)) {
        fail();
        return;
    }
    answered_ = true;
    failed_ = false;
    storeHead_ = std::max(storeHead_, row.head);
    storeEpoch_ = row.epoch;
    if (repairWanted_) {
        repairWanted_ = false;
        repair_.emplace();
    }
    if (target().head() >= goal()) {
        finish(commands);
        return;
    }
    if (target().head() > TicketNumber()) {
        readTickets(commands);
        return;
    }
    step_ = Step::ReadingSnapshot;
    operation_ = operations_.issue();
    commands.push_back(ObjectGet { operation_, SnapshotObject });
}

void TicketFollower::snapshotRead(const StoreResult &result, Commands &commands)
{
    // Without a snapshot the whole chain is read from the table, which is slower and gives the same catalog.
    const std::optional<Snapshot> snapshot =
        result.content.has_value() ? decodeSnapshot(*result.content) : std::nullopt;
    // An object that is left over from another lifetime of the table must not decide the epoch.
    const bool usable = snapshot.has_value() && snapshot->epoch == storeEpoch_ && snapshot->head <= goal();
    if (usable && repair_.has_value()) {
        repair_->install(*snapshot);
    } else if (usable) {
        applier_.install(*snapshot, "object", commands);
    }
    readTickets(commands);
}

void TicketFollower::ticketsRead(const StoreResult &result, Commands &commands)
{
    if (result.status != StoreStatus::Done) {
        fail();
        return;
    }
    const TicketNumber before = target().head();
    for (const TableRow &row : result.rows) {
        const std::optional<TicketRecord> record = decodeRecord(row);
        if (!record.has_value() || record->number > goal()) {
            break;
        }
        const Applied applied = offer(*record, commands);
        if (applied != Applied::Done && applied != Applied::AlreadyApplied) {
            break;
        }
    }
    if (target().head() >= goal()) {
        finish(commands);
    } else if (target().head() > before) {
        readTickets(commands);
    } else {
        fail();
    }
}

const TicketChain &TicketFollower::target() const
{
    return repair_.has_value() ? *repair_ : applier_.chain();
}

TicketNumber TicketFollower::goal() const
{
    return repair_.has_value() ? applier_.chain().head() : storeHead_;
}

Applied TicketFollower::offer(const TicketRecord &record, Commands &commands)
{
    return repair_.has_value() ? repair_->apply(record) : applier_.apply(record, Source, commands);
}

void TicketFollower::readTickets(Commands &commands)
{
    step_ = Step::ReadingTickets;
    operation_ = operations_.issue();
    commands.push_back(TableScan { operation_, TicketKeyPrefix, ticketKey(target().head()), ScanRows });
}

void TicketFollower::fail()
{
    step_ = Step::Idle;
    failed_ = true;
    repair_.reset();
}

void TicketFollower::finish(Commands &commands)
{
    step_ = Step::Idle;
    if (repair_.has_value()) {
        applier_.repairFrom(*repair_, Source, commands);
        repair_.reset();
    }
}

} // namespace GeraniumLever
