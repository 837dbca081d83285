/** Follows the chain of tickets in the table service. */
#pragma once

#include <optional>

#include "core/core.h"
#include "servers/tickets/ticket_applier.h"

namespace GeraniumLever {

class TicketFollower
{
public:
    TicketFollower(TicketApplier &applier, OperationCounter &operations);

    /** Reads the head if it is time to and `wanted` is true. */
    void tick(bool wanted, TimePoint now, Commands &commands);

    /** Reads the head at the next tick, wanted or not. */
    void pollNow();

    /** Reads the chain anew beside the one in force, to replace a catalog that disagrees with others. */
    void startRepair();

    /** Writes the present state to the object store, as a start for nodes without state. */
    void saveSnapshot(Commands &commands);

    /** False if the operation is not one of the follower's. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    /** True once the table service has told its head. */
    bool answered() const { return answered_; }

    /** True if the last reading failed. */
    bool failed() const { return failed_; }

    /** The highest head that the table service has told. */
    TicketNumber storeHead() const { return storeHead_; }

private:
    enum class Step : std::uint8_t {
        Idle,
        ReadingHead,
        ReadingSnapshot,
        ReadingTickets,
    };

    void headRead(const StoreResult &result, TimePoint now, Commands &commands);
    void snapshotRead(const StoreResult &result, Commands &commands);
    void ticketsRead(const StoreResult &result, Commands &commands);
    /** The chain that is being read into: the one in force, or the one of a repair. */
    const TicketChain &target() const;
    TicketNumber goal() const;
    Applied offer(const TicketRecord &record, Commands &commands);
    void readTickets(Commands &commands);
    void fail();
    void finish(Commands &commands);

    TicketApplier &applier_;
    OperationCounter &operations_;
    Step step_ = Step::Idle;
    OperationId operation_;
    OperationId snapshotWrite_;
    std::optional<TicketChain> repair_;
    bool repairWanted_ = false;
    TimePoint nextPoll_;
    bool answered_ = false;
    bool failed_ = false;
    TicketNumber storeHead_;
    StoreEpoch storeEpoch_;
};

} // namespace GeraniumLever
