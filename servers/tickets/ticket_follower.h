/** Reads new tickets from the table service. */
#pragma once

#include <optional>

#include "core/core.h"
#include "servers/tickets/ticket_applier.h"

namespace GeraniumLever {

class TicketFollower
{
public:
    TicketFollower(TicketApplier &applier, OperationCounter &operations);

    /** Reads the head if a poll is due and `shouldPoll` is true. The first poll, and one requested by pollNow() or
     *  startRepair(), is made regardless of `shouldPoll`. */
    void tick(bool shouldPoll, TimePoint now, Commands &commands);

    /** Reads the head at the next tick, regardless of `shouldPoll`. */
    void pollNow();

    /** Reads the chain again, separately from the one in force, to replace a catalog that differs from that of peers.
     */
    void startRepair();

    /** Writes the current state to the object store; nodes without state start from it. */
    void saveSnapshot(Commands &commands);

    /** Handles the result of a store operation; returns false if the operation is not one of the follower's. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    /** True once the head was read from the table service. */
    bool hasReceivedHead() const { return headReceived_; }

    /** True if the last read failed. */
    bool hasLastReadFailed() const { return lastReadFailed_; }

    /** The highest head that was read from the table service. */
    TicketNumber storeHead() const { return storeHead_; }

private:
    enum class Step : std::uint8_t {
        Idle,
        ReadingHead,
        ReadingSnapshot,
        ReadingTickets,
    };

    void handleHead(const StoreResult &result, TimePoint now, Commands &commands);
    void handleSnapshot(const StoreResult &result, Commands &commands);
    void handleTickets(const StoreResult &result, Commands &commands);
    /** The chain that records are applied to: the one in force, or that of a repair. */
    const TicketChain &targetChain() const;
    TicketNumber targetHead() const;
    ApplyResult applyRecord(const TicketRecord &record, Commands &commands);
    void readTickets(Commands &commands);
    void abortRead();
    void finishRead(Commands &commands);

    TicketApplier &applier_;
    OperationCounter &operations_;
    Step step_ = Step::Idle;
    OperationId operation_;
    OperationId snapshotWriteOperation_;
    std::optional<TicketChain> repairChain_;
    bool repairRequested_ = false;
    TimePoint nextPoll_;
    bool headReceived_ = false;
    bool lastReadFailed_ = false;
    TicketNumber storeHead_;
    StoreEpoch storeEpoch_;
};

} // namespace GeraniumLever
