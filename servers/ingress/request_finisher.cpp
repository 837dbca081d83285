#include "servers/ingress/request_finisher.h"

#include <optional>

#include "servers/ingress/request_reports.h"

namespace GeraniumLever {

namespace {

/** How long the knowledge that a key has not run may be used to say so. */
constexpr Duration KeyFreshness = std::chrono::seconds(1);
constexpr unsigned HttpOk = 200;

} // namespace

RequestFinisher::RequestFinisher(std::uint64_t origin, RequestTable &requests, SeatClient &seats, ClaimSystem &claims)
    : origin_(origin), requests_(requests), seats_(seats), claims_(claims)
{
}

bool RequestFinisher::completeIfOnlyEndIsMissing(RequestRow &row, TimePoint now, Commands &commands)
{
    // A finish reason is the engine's own word that the text is complete; only the end mark was lost.
    if (row.answer.recordAnswer()) {
        completeCompletion(row, now, commands);
        return true;
    }
    if (!row.atTokenLimit()) {
        return false;
    }
    row.answer.finishAtLimit();
    if (row.streamed()) {
        commands.emplace_back(ReplyData { row.call.request, row.answer.event() });
    }
    completeCompletion(row, now, commands);
    return true;
}

void RequestFinisher::completeCompletion(RequestRow &row, TimePoint now, Commands &commands)
{
    if (!row.streamed()) {
        completeWhole(
            row,
            { HttpOk, "application/json", row.answer.wholeBody(row.completion->model().text(), row.promptTokens) },
            now,
            commands);
        return;
    }
    const RequestId request = row.call.request;
    seats_.end(row, AttemptEnding::Completed, 0, commands);
    forget(row, Outcome::Answered, ResultCode::Ok, 0, now, commands);
    commands.emplace_back(ReplyData { request, "[DONE]" });
    commands.emplace_back(ReplyEnd { request });
}

void RequestFinisher::completeWhole(RequestRow &row, const RecordedAnswer &answer, TimePoint now, Commands &commands)
{
    const RequestId request = row.call.request;
    const bool forwarded = row.phase == RequestPhase::Forwarded;
    const Outcome outcome = forwarded ? outcomeNamed(row.head.outcome, Outcome::Answered) : Outcome::Answered;
    const bool replayed = row.head.replayed;
    const std::optional<Duration> retryAfter = row.head.retryAfter;
    if (!row.requestClass.idempotent && !forwarded) {
        claims_.recordAnswer(request, answer, now, commands);
    }
    seats_.end(row, AttemptEnding::Completed, 0, commands);
    forget(row, outcome, ResultCode::Ok, 0, now, commands);
    replyWhole(request, answer, outcome, replayed, retryAfter, commands);
}

void RequestFinisher::giveUp(RequestRow &row, Error error, TimePoint now, Commands &commands)
{
    const RequestId request = row.call.request;
    const Outcome outcome = row.begun ? Outcome::Failed : Outcome::NotRun;
    if (!row.requestClass.idempotent) {
        claims_.abandoned(request, now, commands);
    }
    refuse(row, error, outcome, now, commands);
}

void RequestFinisher::refuse(RequestRow &row, const Error &error, Outcome outcome, TimePoint now, Commands &commands)
{
    const RequestId request = row.call.request;
    const bool sure = row.requestClass.idempotent || outcome != Outcome::NotRun;
    if (!sure && confirmNotRun(row, error, now, commands)) {
        return;
    }
    forget(row, outcome, error.code, row.answer.tokens(), now, commands);
    commands.emplace_back(ReplyError { request, error, outcome });
}

void RequestFinisher::forget(
    RequestRow &row, Outcome outcome, ResultCode code, std::uint32_t wastedTokens, TimePoint now, Commands &commands)
{
    commands.emplace_back(makeFinishDecision(row, outcome, code, now));
    commands.emplace_back(makeMeasurement(row, outcome, code, wastedTokens, now));
    requests_.erase(RequestId(row.call.request));
}

bool RequestFinisher::confirmNotRun(RequestRow &row, const Error &error, TimePoint now, Commands &commands)
{
    if (row.callerGone || (row.keyReadAt && now - *row.keyReadAt < KeyFreshness)) {
        return false;
    }
    const RequestId question(~origin_, ++lastQuestion_);
    row.phase = RequestPhase::ConfirmingNotRun;
    row.pendingError = error;
    questions_.put(question, row.call.request);
    claims_.requestStatus(question, row.team, row.call.idempotencyKey, now, commands);
    return true;
}

void RequestFinisher::notRunConfirmed(RequestRow &row, const ClaimStatus &status, TimePoint now, Commands &commands)
{
    const RequestId request = row.call.request;
    const bool notRun = !status.error && !status.running && status.outcome.value_or(Outcome::NotRun) == Outcome::NotRun;
    if (notRun) {
        const Error error = row.pendingError;
        forget(row, Outcome::NotRun, error.code, 0, now, commands);
        commands.emplace_back(ReplyError { request, error, Outcome::NotRun });
        return;
    }
    const Outcome outcome = status.answer ? Outcome::Answered : Outcome::Unknown;
    forget(row, outcome, status.answer ? ResultCode::Ok : ResultCode::OutcomeUnknown, 0, now, commands);
    ClaimStatus told = status;
    told.request = request;
    replyStatus(told, commands);
}

void RequestFinisher::claimStatusReceived(const ClaimStatus &status, TimePoint now, Commands &commands)
{
    if (const RequestId *confirmed = questions_.find(status.request)) {
        RequestRow *row = requests_.edit(*confirmed);
        questions_.erase(status.request);
        if (row != nullptr) {
            notRunConfirmed(*row, status, now, commands);
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
