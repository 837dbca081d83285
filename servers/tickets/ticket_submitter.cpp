#include "servers/tickets/ticket_submitter.h"

#include <limits>
#include <utility>

#include "servers/tickets/entity_fields.h"

namespace GeraniumLever {

namespace {

constexpr std::size_t MaxQueued = 64;
/** Longest time until a submission gets its verdict. */
constexpr Duration SubmissionLimit = std::chrono::seconds(8);
constexpr Duration AskAgainPause = std::chrono::milliseconds(200);
constexpr Duration RetryAfter = std::chrono::seconds(2);
/** A snapshot is saved by the node that accepts the first ticket of each run of this many numbers. */
constexpr std::uint64_t TicketsPerSnapshot = 200;

Error storeUnavailable(const std::string &reason)
{
    return Error { ResultCode::TicketStoreUnavailable,
                   reason + "; this attempt has not accepted the ticket",
                   RetryAfter };
}

Error outcomeOpen()
{
    return Error { ResultCode::TableAmbiguous,
                   "the table service did not tell whether it has accepted the ticket; send the same ticket again to "
                   "find out",
                   RetryAfter };
}

std::string joinLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        if (!text.empty()) {
            text += '\n';
        }
        text += line;
    }
    return text;
}

std::string numberText(TicketNumber number)
{
    return std::to_string(number.value());
}

} // namespace

TicketSubmitter::TicketSubmitter(TicketApplier &applier,
                                 TicketFollower &follower,
                                 OperationCounter &operations,
                                 std::uint64_t seed)
    : applier_(applier), follower_(follower), operations_(operations), random_(seed)
{
}

void TicketSubmitter::submit(const TicketSubmission &submission, TimePoint now, Commands &commands)
{
    const std::variant<Ticket, std::vector<Fault>> parsed = parseTicket(submission.text);
    if (const std::vector<Fault> *faults = std::get_if<std::vector<Fault>>(&parsed)) {
        commands.push_back(TicketSubmissionResult {
            submission.operation,
            Error { ResultCode::TicketInvalid, formatFaults(*faults), std::nullopt },
        });
        return;
    }
    if (queue_.size() >= MaxQueued) {
        commands.push_back(TicketSubmissionResult { submission.operation,
                                                    storeUnavailable("too many tickets are waiting at this node") });
        return;
    }
    const Ticket &ticket = std::get<Ticket>(parsed);
    queue_.push_back(Submission { submission.operation, ticket, canonicalText(ticket), now + SubmissionLimit });
    if (queue_.size() == 1) {
        read(commands);
    }
}

bool TicketSubmitter::storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands)
{
    if (queue_.empty() || result.operation != storeOperation_) {
        return false;
    }
    storeOperation_ = OperationId();
    if (step_ == Step::Reading) {
        readDone(result, now, commands);
    } else {
        writeDone(result, now, commands);
    }
    return true;
}

void TicketSubmitter::tick(TimePoint now, Commands &commands)
{
    if (queue_.empty()) {
        return;
    }
    if (now >= queue_.front().deadline) {
        const bool mayBeAccepted = ambiguous_ || step_ == Step::Writing;
        refuse(mayBeAccepted ? outcomeOpen() : storeUnavailable("the table service did not answer in time"), commands);
        return;
    }
    const bool caughtUp = step_ == Step::CatchingUp && applier_.chain().head() >= catchUpTo_;
    const bool paused = step_ == Step::Pausing && now >= resumeAt_;
    if (caughtUp || paused) {
        read(commands);
    }
}

bool TicketSubmitter::takeAccepted()
{
    return std::exchange(accepted_, false);
}

void TicketSubmitter::read(Commands &commands)
{
    step_ = Step::Reading;
    headAtRead_ = applier_.chain().head();
    storeOperation_ = operations_.issue();
    commands.push_back(TableGet { storeOperation_, { HeadKey, ticketKey(queue_.front().ticket.number) } });
}

void TicketSubmitter::readDone(const StoreResult &result, TimePoint now, Commands &commands)
{
    const std::optional<HeadView> view = headView(result);
    if (result.status != StoreStatus::Done || !view.has_value()) {
        storeFailed(now, commands);
        return;
    }
    // A transaction that was conditional on an older version of the head row can no longer take effect.
    ambiguous_ = ambiguous_ && *view == view_;
    for (const TableRow &row : result.rows) {
        const std::optional<TicketRecord> existing = decodeRecord(row);
        if (existing.has_value()) {
            settleExisting(*existing, commands);
            return;
        }
    }
    if (std::optional<Error> error = checkHead(*view, now, commands)) {
        refuse(std::move(*error), commands);
        return;
    }
    if (view->row.head < applier_.chain().head()) {
        // A peer has pushed a newer ticket since the head was read.
        read(commands);
        return;
    }
    if (view->row.head > applier_.chain().head()) {
        step_ = Step::CatchingUp;
        catchUpTo_ = view->row.head;
        follower_.pollNow();
        return;
    }
    if (std::optional<Error> error = checkContent()) {
        refuse(std::move(*error), commands);
        return;
    }
    write(*view, commands);
}

std::optional<TicketSubmitter::HeadView> TicketSubmitter::headView(const StoreResult &result)
{
    HeadView view { {}, TableCondition { TableCondition::Kind::Absent, 0 } };
    for (const TableRow &row : result.rows) {
        if (row.key != HeadKey) {
            continue;
        }
        const std::optional<HeadRow> head = decodeHead(row.value);
        if (!head.has_value()) {
            return std::nullopt;
        }
        view = HeadView { *head, TableCondition { TableCondition::Kind::VersionIs, row.version } };
    }
    return view;
}

void TicketSubmitter::settleExisting(const TicketRecord &existing, Commands &commands)
{
    const Submission &submission = queue_.front();
    if (existing.text == submission.text) {
        written_ = existing;
        accept(commands);
        return;
    }
    const std::variant<Ticket, std::vector<Fault>> parsed = parseTicket(existing.text);
    const Ticket *other = std::get_if<Ticket>(&parsed);
    std::string message = "another ticket has the number " + numberText(existing.number);
    if (other != nullptr) {
        message += "; it is by " + other->author + " and changes";
        for (const EntityChange &change : other->changes) {
            message += '\n';
            message += entityLabel(kindOf(change), nameOf(change));
        }
    }
    refuse(Error { ResultCode::TicketNumberTaken, message, std::nullopt }, commands);
}

std::optional<Error> TicketSubmitter::checkHead(const HeadView &view, TimePoint now, Commands &commands)
{
    const TicketChain &chain = applier_.chain();
    if (applier_.epochMismatches(view.row.epoch, "table", now, commands) || view.row.head < headAtRead_) {
        return Error { ResultCode::TicketEpochMismatch,
                       "the table service does not hold the tickets that are in force here (head "
                           + numberText(view.row.head) + ", in force " + numberText(chain.head()) + ")",
                       std::nullopt };
    }
    if (queue_.front().ticket.number <= view.row.head && view.row.head == chain.head()) {
        return notAboveHead();
    }
    return std::nullopt;
}

Error TicketSubmitter::notAboveHead() const
{
    const Ticket &ticket = queue_.front().ticket;
    std::vector<std::string> lines =
        applier_.chain().changesSince(ticket, ticket.basedOn.value_or(TicketNumber(ticket.number.value() - 1)));
    lines.insert(lines.begin(),
                 "number " + numberText(ticket.number) + " is not above the head "
                     + numberText(applier_.chain().head()));
    return Error { ResultCode::TicketNumberNotAboveHead, joinLines(lines), std::nullopt };
}

std::optional<Error> TicketSubmitter::checkContent() const
{
    const Ticket &ticket = queue_.front().ticket;
    std::vector<std::string> lines;
    if (ticket.basedOn.has_value()) {
        lines = applier_.chain().changesSince(ticket, *ticket.basedOn);
    }
    const bool conflict = !lines.empty();
    for (const Fault &fault : validateTicket(ticket, *applier_.chain().catalog())) {
        lines.push_back(fault.message);
    }
    if (lines.empty()) {
        return std::nullopt;
    }
    const ResultCode code = conflict ? ResultCode::TicketConflict : ResultCode::TicketInvalid;
    return Error { code, joinLines(lines), std::nullopt };
}

void TicketSubmitter::write(const HeadView &view, Commands &commands)
{
    const Submission &submission = queue_.front();
    HeadRow row = view.row;
    if (row.epoch == StoreEpoch()) {
        row.epoch = StoreEpoch(1 + random_.below(std::numeric_limits<std::uint64_t>::max() - 1));
    }
    written_ = TicketRecord { submission.ticket.number, row.head, row.epoch, submission.text };
    row.head = submission.ticket.number;
    view_ = view;
    step_ = Step::Writing;
    storeOperation_ = operations_.issue();
    const TableCondition absent { TableCondition::Kind::Absent, 0 };
    commands.push_back(TableTransaction {
        storeOperation_,
        {
            TableWrite { TableWrite::Action::Put, HeadKey, encodeHead(row), view.condition },
            TableWrite { TableWrite::Action::Put, ticketKey(written_.number), encodeRecord(written_), absent },
        },
    });
}

void TicketSubmitter::writeDone(const StoreResult &result, TimePoint now, Commands &commands)
{
    switch (result.status) {
    case StoreStatus::Done:
        accept(commands);
        return;
    case StoreStatus::ConditionFailed:
        read(commands);
        return;
    case StoreStatus::Unavailable:
        storeFailed(now, commands);
        return;
    case StoreStatus::Ambiguous:
        ambiguous_ = true;
        read(commands);
        return;
    }
}

void TicketSubmitter::storeFailed(TimePoint now, Commands &commands)
{
    if (ambiguous_) {
        step_ = Step::Pausing;
        resumeAt_ = now + AskAgainPause;
        return;
    }
    // Those that wait would only be told the same later.
    for (std::size_t waiting = queue_.size(); waiting > 0; --waiting) {
        refuse(storeUnavailable("the table service cannot be reached"), commands);
    }
}

void TicketSubmitter::accept(Commands &commands)
{
    const Applied applied = applier_.apply(written_, "submission", commands);
    if (applied == Applied::Gap) {
        follower_.pollNow();
    }
    accepted_ = true;
    commands.push_back(Decision {
        "ticket_accepted",
        { { "number", numberText(written_.number) }, { "previous", numberText(written_.previous) } },
    });
    const bool firstOfRun =
        written_.number.value() / TicketsPerSnapshot != written_.previous.value() / TicketsPerSnapshot;
    if (applied == Applied::Done && firstOfRun) {
        follower_.saveSnapshot(commands);
    }
    finish(written_.number, commands);
}

void TicketSubmitter::refuse(Error error, Commands &commands)
{
    commands.push_back(Decision {
        "ticket_refused",
        { { "number", numberText(queue_.front().ticket.number) }, { "code", std::string(resultCodeName(error.code)) } },
    });
    finish(std::move(error), commands);
}

void TicketSubmitter::finish(Result<TicketNumber> result, Commands &commands)
{
    commands.push_back(TicketSubmissionResult { queue_.front().operation, std::move(result) });
    queue_.pop_front();
    storeOperation_ = OperationId();
    step_ = Step::Pausing;
    ambiguous_ = false;
    resumeAt_ = TimePoint();
}

} // namespace GeraniumLever
