/** The ingress's side of the exchange with the schedulers. */
#pragma once

#include <vector>

#include "core/core.h"
#include "servers/ingress/request_table.h"
#include "servers/membership/membership.h"

namespace GeraniumLever {

/** Asks for seats, keeps the schedulers informed of what holds one, and follows a shard to its next scheduler. */
class SeatClient
{
public:
    /** Both outlive this object. */
    SeatClient(RequestTable &requests, const MembershipSystem &membership);

    void applyCatalog(CatalogPtr catalog);

    /** Queues the request at the scheduler of its shard; false if the pool has no upstream in this data centre. */
    bool ask(RequestRow &row, TimePoint now, Commands &commands);

    /** Leaves the scheduler's queue. */
    void cancel(const RequestRow &row, Commands &commands);

    /** True if the grant answers what the row is waiting for. */
    bool expects(const RequestRow &row, const NodeName &from) const;

    /** Notes the seat as the row's. */
    void accept(RequestRow &row, const NodeName &from, const SlotGrant &grant);

    /** Gives back a seat that nobody wants. */
    void decline(const NodeName &from, const SlotGrant &grant, Commands &commands);

    /** Ends the row's attempt, if any, and frees its seat. */
    void end(RequestRow &row, AttemptEnding ending, std::uint32_t wastedTokens, Commands &commands);

    void reportProgress(const RequestRow &row, Commands &commands);

    /** After a change of the membership view: registers running attempts with the present schedulers and moves waiting
     *  requests to them. */
    void follow(const std::vector<NodeName> &lost, TimePoint now, Commands &commands);

private:
    NodeName schedulerOf(const ShardKey &shard) const;

    RequestTable &requests_;
    const MembershipSystem &membership_;
    CatalogPtr catalog_;
};

} // namespace GeraniumLever
