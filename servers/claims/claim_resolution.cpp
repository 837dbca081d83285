#include "servers/claims/claim_resolution.h"

#include <functional>
#include <utility>

namespace GeraniumLever {

namespace {

constexpr Duration RunningRetryAfter = std::chrono::seconds(1);
constexpr Duration StoreRetryAfter = std::chrono::seconds(2);
constexpr Duration UnknownRetryAfter = std::chrono::seconds(5);

/** Between one and two times the base, so that refused callers do not come back all at once. */
Duration spreadRetryAfter(Duration base, const RequestId &request)
{
    constexpr std::uint64_t Steps = 1000;
    const std::uint64_t step = std::hash<RequestId>()(request) % Steps;
    return base + base * static_cast<Duration::rep>(step) / static_cast<Duration::rep>(Steps);
}

bool isStatus(const ClaimCall &call)
{
    return call.kind == ClaimCall::Kind::Status;
}

ClaimStatus statusOf(const ClaimCall &call)
{
    ClaimStatus status;
    status.request = call.request.request;
    return status;
}

ClaimEnd refusal(const ClaimCall &call, Error error, Outcome outcome)
{
    return ClaimNotice(ClaimRefused { call.request.request, std::move(error), outcome });
}

} // namespace

ClaimEnd endAnswered(const ClaimCall &call, const RecordedAnswer &answer)
{
    if (!isStatus(call)) {
        return ClaimNotice(ClaimReplay { call.request.request, answer });
    }
    ClaimStatus status = statusOf(call);
    status.outcome = Outcome::Answered;
    status.answer = answer;
    return status;
}

ClaimEnd endRunning(const ClaimCall &call)
{
    if (isStatus(call)) {
        ClaimStatus status = statusOf(call);
        status.running = true;
        return status;
    }
    const Duration retryAfter = spreadRetryAfter(RunningRetryAfter, call.request.request);
    const Error error { ResultCode::ClaimRunning, "An earlier call under this key is still running.", retryAfter };
    return refusal(call, error, Outcome::Unknown);
}

ClaimEnd endUnknown(const ClaimCall &call, bool mayBeSettledLater)
{
    if (isStatus(call)) {
        ClaimStatus status = statusOf(call);
        status.outcome = Outcome::Unknown;
        return status;
    }
    Error error { ResultCode::OutcomeUnknown, "It is not known whether the call under this key ran.", {} };
    if (mayBeSettledLater) {
        error.retryAfter = spreadRetryAfter(UnknownRetryAfter, call.request.request);
    }
    return refusal(call, std::move(error), Outcome::Unknown);
}

ClaimEnd endUnavailable(const ClaimCall &call, Outcome outcome)
{
    const Duration retryAfter = spreadRetryAfter(StoreRetryAfter, call.request.request);
    const std::string_view message = outcome == Outcome::NotRun
        ? "The call was not run: the table service is not available."
        : "The table service is not available to tell whether an earlier call under this key ran.";
    Error error { ResultCode::ClaimStoreUnavailable, std::string(message), retryAfter };
    if (!isStatus(call)) {
        return refusal(call, std::move(error), outcome);
    }
    ClaimStatus status = statusOf(call);
    status.error = std::move(error);
    return status;
}

ClaimEnd endOtherBody(const ClaimCall &call)
{
    const Error error { ResultCode::KeyReusedWithOtherBody, "The key belongs to a call with another body.", {} };
    return refusal(call, error, Outcome::NotRun);
}

ClaimEnd endTooLate(const ClaimCall &call)
{
    const Error error { ResultCode::DeadlineUnreachable, "The deadline passed before the call was started.", {} };
    return refusal(call, error, Outcome::NotRun);
}

ClaimEnd endFree(const ClaimCall &call, bool neverClaimed)
{
    ClaimStatus status = statusOf(call);
    if (!neverClaimed) {
        status.outcome = Outcome::NotRun;
    }
    return status;
}

} // namespace GeraniumLever
