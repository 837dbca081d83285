/** Acceptance and distribution of change tickets on one node. */
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Where a node stands. */
struct TicketStatus
{
    TicketNumber head;
    std::uint64_t digest = 0;
    StoreEpoch epoch;
    /** True once the node has the highest head heard from the store or a peer. Only then may it take requests. */
    bool caughtUp = false;

    auto operator<=>(const TicketStatus &) const = default;
};

/** What a node has met while following the chain. */
struct TicketCounters
{
    std::uint64_t applied = 0;
    std::uint64_t snapshots = 0;
    std::uint64_t gaps = 0;
    std::uint64_t forks = 0;
    std::uint64_t epochMismatches = 0;
    std::uint64_t digestMismatches = 0;
    std::uint64_t repairs = 0;

    auto operator<=>(const TicketCounters &) const = default;
};

/** Keeps the chain of tickets and the catalog that they add up to. */
class TicketSystem
{
public:
    TicketSystem(NodeName self, OperationCounter &operations, std::uint64_t seed);
    ~TicketSystem();

    /** Validates the ticket whole and writes it with one transaction. Ends in a TicketSubmissionResult command. */
    void submitted(const TicketSubmission &submission, TimePoint now, Commands &commands);

    /** Compares the peer's head with the own one and asks for what is missing. */
    void heartbeatReceived(const Heartbeat &heartbeat, TimePoint now, Commands &commands);

    void batchReceived(const NodeName &from, const TicketBatch &batch, TimePoint now, Commands &commands);
    void fetchReceived(const NodeName &from, const TicketFetch &fetch, Commands &commands);
    void snapshotRequested(const NodeName &from, Commands &commands);
    void snapshotReceived(const NodeName &from, const Snapshot &snapshot, TimePoint now, Commands &commands);

    /** False if the operation is not one of this system's. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    /** delegate: true if this node reads the head from the store; pushTo: the nodes that a delegate sends new tickets
     * to (the own data centre's nodes and one delegate of each other). */
    void tick(bool delegate, const std::vector<NodeName> &pushTo, TimePoint now, Commands &commands);

    /** The catalog in force. Never null; replaced whole when a ticket is applied. */
    const CatalogPtr &catalog() const;

    TicketStatus standing() const;

    /** An accepted ticket that this node still holds. */
    std::optional<TicketRecord> record(TicketNumber number) const;

    TicketCounters counters() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
