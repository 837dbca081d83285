/** Builds the decision records that the scheduler writes to the log. */
#pragma once

#include <string_view>

#include "servers/scheduling/running_attempt.h"
#include "servers/scheduling/waiting_request.h"

namespace GeraniumLever {

/** A seat was granted after the given wait. */
Decision grantDecision(const RunningAttempt &attempt, Duration waited, std::string_view reason);

/** A request was refused. */
Decision refusalDecision(
    const SlotRequest &request, std::uint32_t tier, Duration waited, ResultCode code, Duration retryAfter);

/** A running attempt was asked to pause for a request of a higher tier. */
Decision pauseDecision(const RunningAttempt &attempt, const WaitingRequest &beneficiary, TimePoint now);

/** An upstream was ejected because it is too slow, or readmitted. */
Decision ejectionDecision(const UpstreamName &upstream, bool ejected, double slowness);

} // namespace GeraniumLever
