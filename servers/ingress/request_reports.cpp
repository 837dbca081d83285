#include "servers/ingress/request_reports.h"

#include <utility>

namespace GeraniumLever {

namespace {

constexpr Duration RunningRetryAfter = std::chrono::seconds(1);

} // namespace

Decision decide(const char *kind, const RequestRow &row)
{
    Decision decision;
    decision.kind = kind;
    decision.fields = { { "request", row.call.request.text() },
                        { "class", row.requestClass.name.text() },
                        { "team", row.team.text() },
                        { "pool", row.pool.text() } };
    return decision;
}

void addField(Decision &decision, const char *name, std::string value)
{
    decision.fields.emplace_back(name, std::move(value));
}

Decision makeFinishDecision(const RequestRow &row, Outcome outcome, ResultCode code, TimePoint now)
{
    Decision decision = decide("finish", row);
    addField(decision, "outcome", std::string(outcomeName(outcome)));
    addField(decision, "code", std::string(resultCodeName(code)));
    addField(decision, "attempts", std::to_string(row.attempts));
    addField(decision, "tokens", std::to_string(row.answer.tokens()));
    addField(decision, "first_token_ms", row.firstToken ? std::to_string(toMilliseconds(*row.firstToken)) : "-");
    addField(decision, "total_ms", std::to_string(toMilliseconds(now - row.arrivedAt)));
    return decision;
}

RequestMetrics makeMeasurement(
    const RequestRow &row, Outcome outcome, ResultCode code, std::uint32_t wastedTokens, TimePoint now)
{
    RequestMetrics measured;
    measured.requestClass = row.requestClass.name;
    measured.outcome = outcome;
    measured.code = code;
    measured.firstToken = row.firstToken;
    measured.total = now - row.arrivedAt;
    measured.tokens = row.answer.tokens();
    measured.wastedTokens = wastedTokens;
    measured.attempts = row.attempts;
    return measured;
}

void replyWhole(const RequestId &request,
                const RecordedAnswer &answer,
                Outcome outcome,
                bool replayed,
                std::optional<Duration> retryAfter,
                Commands &commands)
{
    ReplyHead head;
    head.request = request;
    head.status = answer.status;
    head.contentType = answer.contentType;
    head.outcome = outcome;
    head.replayed = replayed;
    head.retryAfter = retryAfter;
    commands.emplace_back(std::move(head));
    commands.emplace_back(ReplyData { request, answer.body });
    commands.emplace_back(ReplyEnd { request });
}

void replyStatus(const ClaimStatus &status, Commands &commands)
{
    if (status.error) {
        commands.emplace_back(ReplyError { status.request, *status.error, Outcome::Unknown });
        return;
    }
    if (status.running) {
        const Error error { ResultCode::ClaimRunning, "the call is running", RunningRetryAfter };
        commands.emplace_back(ReplyError { status.request, error, Outcome::Unknown });
        return;
    }
    if (!status.outcome) {
        const Error error { ResultCode::UnknownRequest, "no call has run under this key", std::nullopt };
        commands.emplace_back(ReplyError { status.request, error, Outcome::NotRun });
        return;
    }
    if (!status.answer) {
        const Error error { ResultCode::OutcomeUnknown,
                            "the call may have run; it will not be run again",
                            std::nullopt };
        commands.emplace_back(ReplyError { status.request, error, *status.outcome });
        return;
    }
    replyWhole(status.request, *status.answer, *status.outcome, true, std::nullopt, commands);
}

Outcome outcomeNamed(const std::string &name, Outcome fallback)
{
    for (const Outcome outcome : { Outcome::Answered, Outcome::NotRun, Outcome::Failed, Outcome::Unknown }) {
        if (name == outcomeName(outcome)) {
            return outcome;
        }
    }
    return fallback;
}

} // namespace GeraniumLever
