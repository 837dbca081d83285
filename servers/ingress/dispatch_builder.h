/** What is sent to an upstream, or to a node of another data centre, for a request. */
#pragma once

#include <string>

#include "core/core.h"
#include "servers/ingress/request_row.h"
#include "servers/membership/membership.h"

namespace GeraniumLever {

/** The request, or its continuation, for an upstream of its pool. */
UpstreamDispatch makeDispatch(const RequestRow &row, const Upstream &upstream);

/** The request as it arrived, for a node that handles it in this one's place. */
UpstreamDispatch makeForward(const RequestRow &row,
                             const NodeAddress &node,
                             const std::string &meshKey,
                             Duration timeLeft);

} // namespace GeraniumLever
