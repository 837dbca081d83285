/** Checks whether a caller's request is well-formed and allowed, before it is queued for a seat. */
#pragma once

#include "core/core.h"
#include "servers/ingress/request_row.h"

namespace GeraniumLever {

/** Returns the request as a row in its first phase, or the error to send to the caller. */
Result<RequestRow> admitRequest(const CallerRequest &call, const Catalog &catalog, TimePoint now);

} // namespace GeraniumLever
