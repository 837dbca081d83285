#include "servers/ingress/request_finisher.h"

#include <optional>

#include "servers/ingress/request_reports.h"

namespace GeraniumLever {

namespace {

/** "Not run" may be reported without a new read if the key was read within this time. */
constexpr Duration MaxKeyReadAge = std::chrono::seconds(1);
constexpr unsigned HttpOk = 200;

} // namespace

RequestFinisher::RequestFinisher(std::uint64_t origin, RequestTable &requests, SeatClient &seats, ClaimSystem &claims)
    : origin_(origin), requests_(requests), seats_(seats), claims_(claims)
{
}

bool RequestFinisher::completeIfOnlyEndIsMissing(RequestRow &row, TimePoint now, Commands &commands)
{
    // With a finish reason the engine has declared the text complete; only the end marker was lost.
    if (row.answer.hasFinishReason()) {
        completeAssembled(row, now, commands);
        return true;
    }
    if (!row.atTokenLimit()) {
        return false;
    }
    row.answer.finishAtLimit();
    if (row.streamed()) {
        commands.emplace_back(ReplyData { row.call.request, row.answer.event() });
    }
    completeAssembled(row, now, commands);
    return true;
}

void RequestFinisher::completeAssembled(RequestRow &row, TimePoint now, Commands &commands)
{
    if (!row.streamed()) {
        completeWithAnswer(
            row,
            { HttpOk, "application/json", row.answer.composeBody(row.completion->model().text(), row.promptTokens) },
            now,
            commands);
        return;
    }
    const RequestId request = row.call.request;
    seats_.end(row, AttemptEnding::Completed, 0, commands);
    closeRequest(row, Outcome::Answered, ResultCode::Ok, 0, now, commands);
    commands.emplace_back(ReplyData { request, "[DONE]" });
    commands.emplace_back(ReplyEnd { request });
}

void RequestFinisher::completeWithAnswer(RequestRow &row,
                                         const RecordedAnswer &answer,
                                         TimePoint now,
                                         Commands &commands)
{
    const RequestId request = row.call.request;
    const bool forwarded = row.phase == RequestPhase::Forwarded;
    const Outcome outcome = forwarded ? parseOutcome(row.head.outcome, Outcome::Answered) : Outcome::Answered;
    const bool replayed = row.head.replayed;
    const std::optional<Duration> retryAfter = row.head.retryAfter;
    if (!row.requestClass.idempotent && !forwarded) {
        claims_.recordAnswer(request, answer, now, commands);
    }
    seats_.end(row, AttemptEnding::Completed, 0, commands);
    closeRequest(row, outcome, ResultCode::Ok, 0, now, commands);
    replyWithAnswer(request, answer, outcome, replayed, retryAfter, commands);
}

void RequestFinisher::failRequest(RequestRow &row, Error error, TimePoint now, Commands &commands)
{
    const RequestId request = row.call.request;
    const Outcome outcome = row.mayHaveReachedUpstream ? Outcome::Failed : Outcome::NotRun;
    if (!row.requestClass.idempotent) {
        claims_.abandon(request, now, commands);
    }
    endWithError(row, error, outcome, now, commands);
}

void RequestFinisher::endWithError(
    RequestRow &row, const Error &error, Outcome outcome, TimePoint now, Commands &commands)
{
    const RequestId request = row.call.request;
    const bool isCertain = row.requestClass.idempotent || outcome != Outcome::NotRun;
    if (!isCertain && confirmNotRun(row, error, now, commands)) {
        return;
    }
    closeRequest(row, outcome, error.code, row.answer.tokens(), now, commands);
    commands.emplace_back(ReplyError { request, error, outcome });
}

void RequestFinisher::closeRequest(
    RequestRow &row, Outcome outcome, ResultCode code, std::uint32_t wastedTokens, TimePoint now, Commands &commands)
{
    commands.emplace_back(makeFinishDecision(row, outcome, code, now));
    commands.emplace_back(makeMeasurement(row, outcome, code, wastedTokens, now));
    requests_.erase(RequestId(row.call.request));
}

bool RequestFinisher::confirmNotRun(RequestRow &row, const Error &error, TimePoint now, Commands &commands)
{
    if (row.callerGone || (row.keyReadAt && now - *row.keyReadAt < MaxKeyReadAge)) {
        return false;
    }
    const RequestId confirmation(~origin_, ++lastConfirmation_);
    row.phase = RequestPhase::ConfirmingNotRun;
    row.pendingError = error;
    confirmations_.put(confirmation, row.call.request);
    claims_.requestStatus(confirmation, row.team, row.call.idempotencyKey, now, commands);
    return true;
}

void RequestFinisher::confirmationReceived(RequestRow &row,
                                           const ClaimStatus &status,
                                           TimePoint now,
                                           Commands &commands)
{
    const RequestId request = row.call.request;
    const bool notRun = !status.error && !status.running && status.outcome.value_or(Outcome::NotRun) == Outcome::NotRun;
    if (notRun) {
        const Error error = row.pendingError;
        closeRequest(row, Outcome::NotRun, error.code, 0, now, commands);
        commands.emplace_back(ReplyError { request, error, Outcome::NotRun });
        return;
    }
    const Outcome outcome = status.answer ? Outcome::Answered : Outcome::Unknown;
    closeRequest(row, outcome, status.answer ? ResultCode::Ok : ResultCode::OutcomeUnknown, 0, now, commands);
    ClaimStatus reply = status;
    reply.request = request;
    replyStatus(reply, commands);
}

void RequestFinisher::claimStatusReceived(const ClaimStatus &status, TimePoint now, Commands &commands)
{
    if (const RequestId *confirmed = confirmations_.find(status.request)) {
        RequestRow *row = requests_.edit(*confirmed);
        confirmations_.erase(status.request);
        if (row != nullptr) {
            confirmationReceived(*row, status, now, commands);
        }
        return;
    }
    if (requests_.find(status.request) == nullptr) {
        return;
    }
    requests_.erase(status.request);
    replyStatus(status, commands);
}

} // namespace GeraniumLever
