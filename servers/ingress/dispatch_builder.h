/** Builds what is sent for a request to an upstream or to a node of another data centre. */
#pragma once

#include <string>

#include "core/core.h"
#include "servers/ingress/request_row.h"
#include "servers/membership/membership.h"

namespace GeraniumLever {

/** The request, or the continuation of its answer, for an upstream of its pool. */
UpstreamDispatch makeDispatch(const RequestRow &row, const Upstream &upstream);

/** The request as it arrived, or the continuation of its answer, for a node that handles it in place of this one. */
UpstreamDispatch makeForward(const RequestRow &row,
                             const NodeAddress &node,
                             const std::string &meshKey,
                             Duration timeLeft);

} // namespace GeraniumLever
