/** Decides whether a caller's request is well-formed and allowed, before it competes for a seat. */
#pragma once

#include "core/core.h"
#include "servers/ingress/request_row.h"

namespace GeraniumLever {

/** The request as a row in its first phase, or the error that the caller gets. */
Result<RequestRow> admitRequest(const CallerRequest &call, const Catalog &catalog, TimePoint now);

} // namespace GeraniumLever
