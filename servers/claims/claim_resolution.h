/** The ways in which a call ends without having been dispatched. */
#pragma once

#include <variant>

#include "core/core.h"
#include "servers/claims/claim_call.h"

namespace GeraniumLever {

/** What is told: a status to a question, a notice to any other call. */
using ClaimEnd = std::variant<ClaimNotice, ClaimStatus>;

/** The call ran, and this is its answer. */
ClaimEnd endAnswered(const ClaimCall &call, const RecordedAnswer &answer);

/** Another call under the key is running, or its answer is being recorded. */
ClaimEnd endRunning(const ClaimCall &call);

/** Nobody can tell now whether the call under the key ran. */
ClaimEnd endUnknown(const ClaimCall &call, bool mayBeSettledLater);

/** The table service or object store could not be asked. */
ClaimEnd endUnavailable(const ClaimCall &call, Outcome outcome);

/** The key belongs to a call with another body. */
ClaimEnd endOtherBody(const ClaimCall &call);

/** The deadline passed before the call was dispatched. */
ClaimEnd endTooLate(const ClaimCall &call);

/** Status only: no call under the key ran; `neverClaimed` if none came as far as a claim. */
ClaimEnd endFree(const ClaimCall &call, bool neverClaimed);

} // namespace GeraniumLever
