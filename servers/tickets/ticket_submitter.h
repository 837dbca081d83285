/** Accepts tickets: one transaction each on the table service. */
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "servers/tickets/ticket_applier.h"
#include "servers/tickets/ticket_follower.h"
#include "servers/tickets/ticket_rows.h"

namespace GeraniumLever {

/** Handles submissions one after the other. A transaction is conditional on the version of the head row that the
 *  validation was based on, so that of two operators one wins and the other is told what has changed. */
class TicketSubmitter
{
public:
    TicketSubmitter(TicketApplier &applier, TicketFollower &follower, OperationCounter &operations, std::uint64_t seed);

    void submit(const TicketSubmission &submission, TimePoint now, Commands &commands);

    /** False if the operation is not one of the submitter's. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    /** Goes on with a submission that waits for the catalog to catch up or for the table service. */
    void tick(TimePoint now, Commands &commands);

    /** True once after a ticket was accepted through this node. */
    bool takeAccepted();

private:
    enum class Step : std::uint8_t {
        Reading,
        Writing,
        /** Waits until the own chain holds the head that the table service has told. */
        CatchingUp,
        /** Waits to ask again what became of an ambiguous transaction, or to begin with the next submission. */
        Pausing,
    };

    struct Submission
    {
        OperationId operation;
        Ticket ticket;
        std::string text;
        TimePoint deadline;
    };

    /** The head row as a transaction is conditional on it. */
    struct HeadView
    {
        HeadRow row;
        TableCondition condition;

        bool operator==(const HeadView &) const = default;
    };

    void read(Commands &commands);
    void readDone(const StoreResult &result, TimePoint now, Commands &commands);
    /** Nothing if the head row is malformed. */
    static std::optional<HeadView> headView(const StoreResult &result);
    void settleExisting(const TicketRecord &existing, Commands &commands);
    std::optional<Error> checkHead(const HeadView &view, TimePoint now, Commands &commands);
    std::optional<Error> checkContent() const;
    Error notAboveHead() const;
    void write(const HeadView &view, Commands &commands);
    void writeDone(const StoreResult &result, TimePoint now, Commands &commands);
    void storeFailed(TimePoint now, Commands &commands);
    void accept(Commands &commands);
    void refuse(Error error, Commands &commands);
    void finish(Result<TicketNumber> result, Commands &commands);

    TicketApplier &applier_;
    TicketFollower &follower_;
    OperationCounter &operations_;
    RandomSource random_;
    std::deque<Submission> queue_;
    Step step_ = Step::Reading;
    OperationId storeOperation_;
    HeadView view_;
    TicketRecord written_;
    /** True while the last transaction may still take effect, or may have. */
    bool ambiguous_ = false;
    TimePoint resumeAt_;
    /** The own head when the last read was sent; a lower one in its result means that the table has lost rows. */
    TicketNumber headAtRead_;
    TicketNumber catchUpTo_;
    bool accepted_ = false;
};

} // namespace GeraniumLever
