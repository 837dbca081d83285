/** Leases in the table service: who may give orders to an upstream. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** How long a lease lasts without renewal. */
constexpr Duration LeaseDuration = std::chrono::seconds(15);

/**
 * Keeps the leases that are wanted. Clocks of different nodes are never compared: the holder counts a lease's duration
 * from before the write that granted it was sent; a contender takes a lease over only after it has seen the row at one
 * version for the whole duration on its own steady clock. Rows are never removed, so that the fence only grows.
 */
class LeaseKeeper
{
public:
    LeaseKeeper(NodeName self, Incarnation incarnation, OperationCounter &operations);

    /** Begins to acquire the lease, and keeps it once it is held. */
    void want(const UpstreamName &upstream, TimePoint now);

    /** Gives the lease up; released in the table service if it is held. */
    void drop(const UpstreamName &upstream, TimePoint now, Commands &commands);

    /** An engine has seen a higher fence: the lease is not held any more, whatever was thought. */
    void lost(const UpstreamName &upstream);

    /** The fence, if the lease is held for at least the margin longer. */
    std::optional<FenceNumber> fenceOf(const UpstreamName &upstream, TimePoint now, Duration margin) const;

    /** False if the operation is not one of a lease. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    /** Renews what is held and tries for what is wanted. */
    void tick(TimePoint now, Commands &commands);

private:
    struct Row
    {
        /** Empty if the lease was released. */
        NodeName holder;
        Incarnation incarnation;
        FenceNumber fence;
        /** The operation that wrote the row, by which its writer knows its own write again. */
        OperationId write;
    };

    struct Lease
    {
        /** When the lease ends on this node's clock; a default TimePoint if it is not held. */
        TimePoint validUntil;
        FenceNumber fence;
        std::uint64_t version = 0;
        /** The write under way, or the last one if its effect is not known. */
        TimePoint writeSentAt;
        FenceNumber writeFence;
        std::uint64_t writeVersion = 0;
        OperationId writeOperation;
        /** Another holder's row, and since when it has been unchanged. */
        std::uint64_t watchedVersion = 0;
        TimePoint watchedSince;
        TimePoint nextAction;
        /** True if the row must be read before it is written again. */
        bool mustRead = true;
        /** The request under way; 0 if there is none. */
        OperationId operation;
    };

    struct Operation
    {
        UpstreamName upstream;
        bool write = false;
    };

    static std::string rowKey(const UpstreamName &upstream);
    static std::optional<Row> parseRow(const std::string &text);
    std::string formatRow(const NodeName &holder, FenceNumber fence, OperationId operation) const;

    void read(const UpstreamName &upstream, Lease &lease, Commands &commands);
    void write(const UpstreamName &upstream, Lease &lease, FenceNumber fence, TimePoint now, Commands &commands);
    void rowRead(
        const UpstreamName &upstream, Lease &lease, const StoreResult &result, TimePoint now, Commands &commands);
    void rowWritten(Lease &lease, StoreStatus status, TimePoint now);
    void confirm(Lease &lease, TimePoint now);

    NodeName self_;
    Incarnation incarnation_;
    OperationCounter &operations_;
    Table<UpstreamName, Lease> leases_;
    Table<OperationId, Operation> pending_;
};

} // namespace GeraniumLever
