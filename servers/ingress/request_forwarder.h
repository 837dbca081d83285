/** Forwards requests to nodes of other data centres. */
#pragma once

#include <cstdint>
#include <string>

#include "core/core.h"
#include "servers/claims/claims.h"
#include "servers/ingress/request_table.h"
#include "servers/membership/membership.h"

namespace GeraniumLever {

/** Forwards a request at most once. A request that another node forwarded to this one is not forwarded again. */
class RequestForwarder
{
public:
    /** `origin` is the node's origin hash, used for attempts at other nodes. `requests`, `claims` and `membership` must
     *  outlive this object. */
    RequestForwarder(std::uint64_t origin,
                     std::string meshKey,
                     RequestTable &requests,
                     ClaimSystem &claims,
                     const MembershipSystem &membership);

    /** Forwards the request, or the continuation of its answer, to a node of a data centre that is expected to start it
     *  within the time left. Returns false if there is none, or if the request must not be forwarded. */
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
