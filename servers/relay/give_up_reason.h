/** Why the relay gives a request up. */
#pragma once

#include <cstdint>

#include "core/core.h"

namespace GeraniumLever {

enum class GiveUpReason : std::uint8_t {
    /** The final response is due. */
    Deadline,
    /** It has waited for an upstream for as long as it may. */
    WaitTimeout,
    Quarantined,
    /** The configuration is too old to validate its key. */
    ConfigurationOutdated,
    NoUpstream,
    QueueFull,
    /** Too many requests are ahead of it. */
    NoCapacity,
    UpstreamsPaused,
    UpstreamsLimited,
    CallerGone,
    /** It may run only once, and may have run. */
    RunsOnce,
    /** Part of a response that cannot be resumed has been forwarded. */
    CannotResume,
    NoAttemptsLeft,
    NoTimeForRetry,
    NoRetryBudget,
};

/** The name in log lines and metrics. */
const char *giveUpReasonName(GiveUpReason reason);

/** The code with which the request ends. lastFailure: why its last attempt failed; Ok if it has had none that may have
 *  run. */
ResultCode resultCodeFor(GiveUpReason reason, ResultCode lastFailure, bool mayHaveRun);

/** What a caller whose request has not run is told about the code. */
const char *refusalMessageFor(ResultCode code);

} // namespace GeraniumLever
