/** The ingress side of the protocol with the schedulers. */
#pragma once

#include <vector>

#include "core/core.h"
#include "servers/ingress/request_table.h"
#include "servers/membership/membership.h"

namespace GeraniumLever {

/** Requests seats, keeps the schedulers informed of the attempts that hold one, and moves to the new scheduler of a
 * shard when it changes. */
class SeatClient
{
public:
    /** Both arguments must outlive this object. */
    SeatClient(RequestTable &requests, const MembershipSystem &membership);

    void applyCatalog(CatalogPtr catalog);

    /** Queues the request at the scheduler of its shard. Returns false if the pool has no upstream in this data centre.
     */
    bool enqueue(RequestRow &row, TimePoint now, Commands &commands);

    /** Removes the request from its scheduler's queue. */
    void cancel(const RequestRow &row, Commands &commands);

    /** True if the row is waiting for a grant or refusal from the node. */
    bool expects(const RequestRow &row, const NodeName &from) const;

    /** Assigns the granted seat to the row. */
    void accept(RequestRow &row, const NodeName &from, const SlotGrant &grant);

    /** Returns a seat that is not needed. */
    void decline(const NodeName &from, const SlotGrant &grant, Commands &commands);

    /** Ends the row's attempt, if any, and frees its seat. */
    void end(RequestRow &row, AttemptEnding ending, std::uint32_t wastedTokens, Commands &commands);

    /** Frees the seat of the row's attempt, which goes on until it is replaced or ended. */
    void release(RequestRow &row, AttemptEnding ending, Commands &commands);

    /** Leaves the scheduler's queue and occupies the seat of the row's attempt again. */
    void restore(RequestRow &row, TimePoint now, Commands &commands);

    void reportProgress(const RequestRow &row, Commands &commands);

    /** Handles a change of the membership view: registers running attempts with the current schedulers and moves
     * waiting requests to them. `lost` are the nodes that became unreachable. */
    void handleSchedulerChange(const std::vector<NodeName> &lost, TimePoint now, Commands &commands);

private:
    NodeName schedulerOf(const ShardKey &shard) const;

    RequestTable &requests_;
    const MembershipSystem &membership_;
    CatalogPtr catalog_;
};

} // namespace GeraniumLever
