/** Resolutions of calls that end without being dispatched. */
#pragma once

#include <variant>

#include "core/core.h"
#include "servers/claims/claim_call.h"

namespace GeraniumLever {

/** A status for a status query, a notice for any other call. */
using ClaimResolution = std::variant<ClaimNotice, ClaimStatus>;

/** The call ran and this is its answer. */
ClaimResolution answeredResolution(const ClaimCall &call, const RecordedAnswer &answer);

/** Another call under the key is running, or its answer is being recorded. */
ClaimResolution runningResolution(const ClaimCall &call);

/** It is not known at present whether the call under the key ran. If that may become known later, the refusal carries
 * a retry delay. */
ClaimResolution unknownResolution(const ClaimCall &call, bool mayBecomeKnown);

/** The table service or object store is unavailable. */
ClaimResolution unavailableResolution(const ClaimCall &call, Outcome outcome);

/** The key belongs to a call with another body. */
ClaimResolution bodyMismatchResolution(const ClaimCall &call);

/** The deadline passed before the call was dispatched. */
ClaimResolution deadlinePassedResolution(const ClaimCall &call);

/** Only for status queries: no call under the key ran. `isRowAbsent`: the key has no row in the table service, so the
 * status has no outcome. */
ClaimResolution notRunResolution(const ClaimCall &call, bool isRowAbsent);

} // namespace GeraniumLever
