/** Accepts tickets by writing each in one transaction to the table service. */
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

/** Processes submissions one after the other. Each transaction is conditional on the version of the head row against
 *  which the ticket was validated. If two operators submit concurrently, one succeeds and the other is told what has
 *  changed. */
class TicketSubmitter
{
public:
    TicketSubmitter(TicketApplier &applier, TicketFollower &follower, OperationCounter &operations, std::uint64_t seed);

    void submit(const TicketSubmission &submission, TimePoint now, Commands &commands);

    /** Handles the result of a store operation; returns false if the operation is not one of the submitter's. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    /** Continues a submission that waits for the catalog to catch up or for the table service. */
    void tick(TimePoint now, Commands &commands);

    /** Returns whether a ticket was accepted through this node since the last call. */
    bool takeAccepted();

private:
    enum class Step : std::uint8_t {
        Reading,
        Writing,
        /** Waits until the chain of this node reaches the head of the table service. */
        CatchingUp,
        /** Waits to check again the outcome of an ambiguous transaction, or to start the next submission. */
        Pausing,
    };

    struct Submission
    {
        OperationId operation;
        Ticket ticket;
        std::string text;
        TimePoint deadline;
    };

    /** The head row and the condition that makes a transaction depend on it. */
    struct HeadView
    {
        HeadRow row;
        TableCondition condition;

        bool operator==(const HeadView &) const = default;
    };

    void readStore(Commands &commands);
    void handleReadResult(const StoreResult &result, TimePoint now, Commands &commands);
    /** Returns std::nullopt if the head row is malformed. */
    static std::optional<HeadView> parseHeadView(const StoreResult &result);
    void resolveWithExisting(const TicketRecord &existing, Commands &commands);
    std::optional<Error> checkHead(const HeadView &view, TimePoint now, Commands &commands);
    std::optional<Error> validateContent() const;
    Error notAboveHeadError() const;
    void writeTicket(const HeadView &view, Commands &commands);
    void handleWriteResult(const StoreResult &result, TimePoint now, Commands &commands);
    void handleStoreFailure(TimePoint now, Commands &commands);
    void accept(Commands &commands);
    void refuse(Error error, Commands &commands);
    void finishSubmission(Result<TicketNumber> result, Commands &commands);

    TicketApplier &applier_;
    TicketFollower &follower_;
    OperationCounter &operations_;
    RandomSource random_;
    std::deque<Submission> queue_;
    Step step_ = Step::Reading;
    OperationId storeOperation_;
    HeadView writtenView_;
    TicketRecord writtenRecord_;
    /** True while the last transaction may have taken effect or may still do so. */
    bool outcomeAmbiguous_ = false;
    TimePoint resumeAt_;
    /** The head of this node when the last read was sent. A lower head in the result means that the table has lost
     * rows.
     */
    TicketNumber headAtRead_;
    TicketNumber catchUpTo_;
    bool accepted_ = false;
};

} // namespace GeraniumLever
