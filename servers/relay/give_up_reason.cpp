#include "servers/relay/give_up_reason.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace GeraniumLever {

namespace {

struct ReasonTraits
{
    GiveUpReason reason;
    const char *name;
    /** Absent if the failure of the last attempt says it. */
    std::optional<ResultCode> code;
    /** True if that failure also says it once the request may have run. */
    bool yieldsToFailure;
};

constexpr ReasonTraits Traits[] = {
    { GiveUpReason::Deadline, "deadline", ResultCode::Shed, true },
    { GiveUpReason::WaitTimeout, "wait_timeout", ResultCode::Shed, true },
    { GiveUpReason::Quarantined, "quarantined", ResultCode::PromptQuarantined, false },
    { GiveUpReason::ConfigurationOutdated, "configuration_outdated", ResultCode::ConfigurationOutdated, false },
    { GiveUpReason::NoUpstream, "no_upstream", ResultCode::NoUpstream, false },
    { GiveUpReason::QueueFull, "queue_full", ResultCode::QueueFull, false },
    { GiveUpReason::NoCapacity, "no_capacity", ResultCode::Shed, true },
    { GiveUpReason::UpstreamsPaused, "upstreams_paused", ResultCode::UpstreamPaused, true },
    { GiveUpReason::UpstreamsLimited, "upstreams_limited", ResultCode::UpstreamLimited, true },
    { GiveUpReason::CallerGone, "caller_gone", std::nullopt, true },
    { GiveUpReason::RunsOnce, "runs_once", std::nullopt, true },
    { GiveUpReason::CannotResume, "cannot_resume", std::nullopt, true },
    { GiveUpReason::NoAttemptsLeft, "no_attempts_left", std::nullopt, true },
    { GiveUpReason::NoTimeForRetry, "no_time_for_retry", std::nullopt, true },
    { GiveUpReason::NoRetryBudget, "no_retry_budget", std::nullopt, true },
};

const ReasonTraits &traitsOf(GiveUpReason reason)
{
    return *std::find_if(
        std::begin(Traits), std::end(Traits), [reason](const ReasonTraits &traits) { return traits.reason == reason; });
}

} // namespace

const char *giveUpReasonName(GiveUpReason reason)
{
    return traitsOf(reason).name;
}

ResultCode resultCodeFor(GiveUpReason reason, ResultCode lastFailure, bool mayHaveRun)
{
    const ReasonTraits &traits = traitsOf(reason);
    return mayHaveRun && traits.yieldsToFailure ? lastFailure : traits.code.value_or(lastFailure);
}

const char *refusalMessageFor(ResultCode code)
{
    switch (code) {
    case ResultCode::PromptQuarantined:
        return "upstreams crash under this request";
    case ResultCode::ConfigurationOutdated:
        return "the configuration is too old to validate keys";
    default:
        return "no upstream has free capacity";
    }
}

} // namespace GeraniumLever
