/** Leases in the table service that decide which node may send orders to an upstream. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** Validity of a lease without renewal. */
constexpr Duration LeaseDuration = std::chrono::seconds(15);

/**
 * Acquires and renews the leases that this node needs. Clocks of different nodes are never compared: the holder
 * measures the duration of a lease from before it sent the write that granted it, and a contender takes a lease over
 * only after it has seen the row at the same version for the whole duration on its own steady clock. Rows are never
 * deleted, so fences only increase.
 */
class LeaseManager
{
public:
    LeaseManager(NodeName self, Incarnation incarnation, OperationCounter &operations);

    /** Starts to acquire the lease, and renews it once it is held. */
    void acquire(const UpstreamName &upstream, TimePoint now);

    /** Stops renewing the lease, and releases it in the table service if it is held. */
    void release(const UpstreamName &upstream, TimePoint now, Commands &commands);

    /** Marks the lease as no longer held because an engine has seen a higher fence. */
    void invalidate(const UpstreamName &upstream);

    /** The fence of the lease; std::nullopt unless the lease stays valid for longer than the margin. */
    std::optional<FenceNumber> validFence(const UpstreamName &upstream, TimePoint now, Duration margin) const;

    /** Handles the result of a store operation; returns false if the operation does not belong to a lease. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    /** Renews held leases and tries to acquire the others. */
    void tick(TimePoint now, Commands &commands);

private:
    struct Row
    {
        /** Empty if the lease was released. */
        NodeName holder;
        Incarnation incarnation;
        FenceNumber fence;
        /** The operation that wrote the row; the writer recognizes its own write by it. */
        OperationId writeOperation;
    };

    struct Lease
    {
        /** When the lease ends on this node's clock; a default TimePoint if it is not held. */
        TimePoint validUntil;
        FenceNumber fence;
        std::uint64_t version = 0;
        /** The write in progress, or the last one if its effect is unknown. */
        TimePoint writeSentAt;
        FenceNumber writeFence;
        std::uint64_t writeVersion = 0;
        OperationId writeOperation;
        /** Version of the row of another holder, and since when it has not changed. */
        std::uint64_t unchangedVersion = 0;
        TimePoint unchangedSince;
        TimePoint nextAction;
        /** True if the row must be read before the next write. */
        bool mustRead = true;
        /** The store operation in progress; 0 if there is none. */
        OperationId operation;
    };

    struct Operation
    {
        UpstreamName upstream;
        bool isWrite = false;
    };

    static std::string rowKey(const UpstreamName &upstream);
    static std::optional<Row> parseRow(const std::string &text);
    std::string formatLeaseRow(const NodeName &holder, FenceNumber fence, OperationId operation) const;

    void read(const UpstreamName &upstream, Lease &lease, Commands &commands);
    void write(const UpstreamName &upstream, Lease &lease, FenceNumber fence, TimePoint now, Commands &commands);
    void leaseRowRead(
        const UpstreamName &upstream, Lease &lease, const StoreResult &result, TimePoint now, Commands &commands);
    void leaseRowWritten(Lease &lease, StoreStatus status, TimePoint now);
    void confirm(Lease &lease, TimePoint now);

    NodeName self_;
    Incarnation incarnation_;
    OperationCounter &operations_;
    Table<UpstreamName, Lease> leases_;
    Table<OperationId, Operation> pending_;
};

} // namespace GeraniumLever
