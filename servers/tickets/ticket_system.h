/** Accepts and distributes change tickets on one node. */
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** State of the ticket chain of a node. */
struct TicketStatus
{
    TicketNumber head;
    std::uint64_t digest = 0;
    StoreEpoch epoch;
    /** True once the node has reached the highest head reported by the store or a peer. Only then may it take requests.
     */
    bool caughtUp = false;

    auto operator<=>(const TicketStatus &) const = default;
};

/** Counts the events on a node while it follows the chain. */
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

/** Maintains the chain of tickets and the catalog that results from them. */
class TicketSystem
{
public:
    TicketSystem(NodeName self, OperationCounter &operations, std::uint64_t seed);
    ~TicketSystem();

    /** Validates the whole ticket and writes it in one transaction. The result is a TicketSubmissionResult command. */
    void submitted(const TicketSubmission &submission, TimePoint now, Commands &commands);

    /** Compares the head of the peer with that of this node and fetches missing tickets. */
    void heartbeatReceived(const Heartbeat &heartbeat, TimePoint now, Commands &commands);

    void batchReceived(const NodeName &from, const TicketBatch &batch, TimePoint now, Commands &commands);
    void fetchReceived(const NodeName &from, const TicketFetch &fetch, Commands &commands);
    void snapshotRequested(const NodeName &from, Commands &commands);
    void snapshotReceived(const NodeName &from, const Snapshot &snapshot, TimePoint now, Commands &commands);

    /** Handles the result of a store operation; returns false if the operation is not one of this system's. */
    bool storeResultReceived(const StoreResult &result, TimePoint now, Commands &commands);

    /** isDelegate: true if this node reads the head from the store; targets: the nodes to which a delegate sends new
     * tickets (the nodes of its data centre and one delegate of each other data centre). */
    void tick(bool isDelegate, const std::vector<NodeName> &targets, TimePoint now, Commands &commands);

    /** The catalog in force. Never null; a new catalog replaces it when a ticket is applied. */
    const CatalogPtr &catalog() const;

    TicketStatus standing() const;

    /** An accepted ticket; std::nullopt if this node does not or no longer hold it. */
    std::optional<TicketRecord> record(TicketNumber number) const;

    TicketCounters counters() const;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
