#include "servers/claims/claim_resolution.h"

#include <functional>
#include <utility>

namespace GeraniumLever {

namespace {

constexpr Duration RunningRetryAfter = std::chrono::seconds(1);
constexpr Duration StoreRetryAfter = std::chrono::seconds(2);
constexpr Duration UnknownRetryAfter = std::chrono::seconds(5);

/** Between one and two times the base, so that refused callers do not all retry at the same time. */
Duration jitteredRetryAfter(Duration base, const RequestId &request)
{
    constexpr std::uint64_t Steps = 1000;
    const std::uint64_t step = std::hash<RequestId>()(request) % Steps;
    return base + base * static_cast<Duration::rep>(step) / static_cast<Duration::rep>(Steps);
}

bool isStatus(const ClaimCall &call)
{
    return call.kind == ClaimCall::Kind::Status;
}

ClaimStatus makeStatus(const ClaimCall &call)
{
    ClaimStatus status;
    status.request = call.request.request;
    return status;
}

ClaimResolution makeRefusal(const ClaimCall &call, Error error, Outcome outcome)
{
    return ClaimNotice(ClaimRefused { call.request.request, std::move(error), outcome });
}

} // namespace

ClaimResolution answeredResolution(const ClaimCall &call, const RecordedAnswer &answer)
{
    if (!isStatus(call)) {
        return ClaimNotice(ClaimReplay { call.request.request, answer });
    }
    ClaimStatus status = makeStatus(call);
    status.outcome = Outcome::Answered;
    status.answer = answer;
    return status;
}

ClaimResolution runningResolution(const ClaimCall &call)
{
    if (isStatus(call)) {
        ClaimStatus status = makeStatus(call);
        status.running = true;
        return status;
    }
    const Duration retryAfter = jitteredRetryAfter(RunningRetryAfter, call.request.request);
    const Error error { ResultCode::ClaimRunning, "An earlier call under this key is still running.", retryAfter };
    return makeRefusal(call, error, Outcome::Unknown);
}

ClaimResolution unknownResolution(const ClaimCall &call, bool mayBecomeKnown)
{
    if (isStatus(call)) {
        ClaimStatus status = makeStatus(call);
        status.outcome = Outcome::Unknown;
        return status;
    }
    Error error { ResultCode::OutcomeUnknown, "It is not known whether the call under this key ran.", {} };
    if (mayBecomeKnown) {
        error.retryAfter = jitteredRetryAfter(UnknownRetryAfter, call.request.request);
    }
    return makeRefusal(call, std::move(error), Outcome::Unknown);
}

ClaimResolution unavailableResolution(const ClaimCall &call, Outcome outcome)
{
    const Duration retryAfter = jitteredRetryAfter(StoreRetryAfter, call.request.request);
    const std::string_view message = outcome == Outcome::NotRun
        ? "The call was not run: the table service is unavailable."
        : "The table service is unavailable, so it is not known whether an earlier call under this key ran.";
    Error error { ResultCode::ClaimStoreUnavailable, std::string(message), retryAfter };
    if (!isStatus(call)) {
        return makeRefusal(call, std::move(error), outcome);
    }
    ClaimStatus status = makeStatus(call);
    status.error = std::move(error);
    return status;
}

ClaimResolution bodyMismatchResolution(const ClaimCall &call)
{
    const Error error { ResultCode::KeyReusedWithOtherBody,
                        "The idempotency key was already used for a call with another body.",
                        {} };
    return makeRefusal(call, error, Outcome::NotRun);
}

ClaimResolution deadlinePassedResolution(const ClaimCall &call)
{
    const Error error { ResultCode::DeadlineUnreachable, "The deadline passed before the call was dispatched.", {} };
    return makeRefusal(call, error, Outcome::NotRun);
}

ClaimResolution notRunResolution(const ClaimCall &call, bool isRowAbsent)
{
    ClaimStatus status = makeStatus(call);
    if (!isRowAbsent) {
        status.outcome = Outcome::NotRun;
    }
    return status;
}

} // namespace GeraniumLever
