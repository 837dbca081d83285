/** Hands requests over to nodes of other data centres. */
#pragma once

#include <cstdint>
#include <string>

#include "core/core.h"
#include "servers/claims/claims.h"
#include "servers/ingress/request_table.h"
#include "servers/membership/membership.h"

namespace GeraniumLever {

/** A request is forwarded once at most, and one that was forwarded here not at all. */
class RequestForwarder
{
public:
    /** origin: the node's origin hash, for the attempts at other nodes. All others outlive this object. */
    RequestForwarder(std::uint64_t origin,
                     std::string meshKey,
                     RequestTable &requests,
                     ClaimSystem &claims,
                     const MembershipSystem &membership);

    /** Hands the request, or the rest of its answer, to a node of a data centre that is expected to start it within the
     *  time left; false if there is none, or the request may not be forwarded. */
    bool forward(RequestRow &row, Duration timeLeft, TimePoint now, Commands &commands);

    /** Forwards a request that has waited at its scheduler for its class's first-token target, if another data centre
     * is expected to start it within that target. */
    void forwardIfQueueIsSlow(RequestRow &row, TimePoint now, Commands &commands);

private:
    std::uint64_t origin_;
    std::uint64_t lastAttempt_ = 0;
    std::string meshKey_;
    RequestTable &requests_;
    ClaimSystem &claims_;
    const MembershipSystem &membership_;
};

} // namespace GeraniumLever
