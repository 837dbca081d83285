#include "servers/scheduling/decision_record.h"

#include <cmath>
#include <string>

namespace GeraniumLever {

namespace {

using Fields = std::vector<std::pair<std::string, std::string>>;

/** Formats a non-negative value, rounded to two decimals. */
std::string decimal(double value)
{
    const long long hundredths = std::llround(value * 100.0);
    const std::string fraction = std::to_string(hundredths % 100);
    return std::to_string(hundredths / 100) + (fraction.size() < 2 ? ".0" : ".") + fraction;
}

std::string milliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration));
}

Fields fieldsOf(const RunningAttempt &attempt)
{
    return { { "request", attempt.request.text() },    { "attempt", attempt.attempt.text() },
             { "class", attempt.requestClass.text() }, { "tier", std::to_string(attempt.tier) },
             { "team", attempt.team.text() },          { "upstream", attempt.upstream.text() } };
}

} // namespace

Decision grantDecision(const RunningAttempt &attempt, Duration waited, std::string_view reason)
{
    Decision decision { "grant", fieldsOf(attempt) };
    decision.fields.emplace_back("wait_ms", milliseconds(waited));
    decision.fields.emplace_back("in_flight", std::to_string(attempt.batchSize));
    decision.fields.emplace_back("uncached_tokens", std::to_string(attempt.uncachedTokens));
    decision.fields.emplace_back("reason", std::string(reason));
    return decision;
}

Decision refusalDecision(
    const SlotRequest &request, std::uint32_t tier, Duration waited, ResultCode code, Duration retryAfter)
{
    return Decision { "refuse",
                      { { "request", request.request.text() },
                        { "class", request.requestClass.text() },
                        { "tier", std::to_string(tier) },
                        { "team", request.team.text() },
                        { "wait_ms", milliseconds(waited) },
                        { "retry_after_ms", milliseconds(retryAfter) },
                        { "reason", std::string(resultCodeName(code)) } } };
}

Decision pauseDecision(const RunningAttempt &attempt, const WaitingRequest &beneficiary, TimePoint now)
{
    Decision decision { "pause", fieldsOf(attempt) };
    decision.fields.emplace_back("tokens", std::to_string(attempt.tokens));
    decision.fields.emplace_back("for_request", beneficiary.request.request.text());
    decision.fields.emplace_back("for_class", beneficiary.request.requestClass.text());
    decision.fields.emplace_back("wait_ms", milliseconds(now - beneficiary.arrivedAt));
    decision.fields.emplace_back("reason", "target_at_risk");
    return decision;
}

Decision ejectionDecision(const UpstreamName &upstream, bool ejected, double slowness)
{
    return Decision { ejected ? "eject" : "readmit",
                      { { "upstream", upstream.text() },
                        { "slowness", decimal(slowness) },
                        { "reason", ejected ? "slower_than_median" : "probe_in_time" } } };
}

} // namespace GeraniumLever
