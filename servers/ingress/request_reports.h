/** Log lines, measurements and whole replies, made from a request's row. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"
#include "servers/claims/claims.h"
#include "servers/ingress/request_row.h"

namespace GeraniumLever {

/** A decision about the request, with the fields that every such line has. */
Decision decide(const char *kind, const RequestRow &row);

void addField(Decision &decision, const char *name, std::string value);

/** The last log line of a request. */
Decision makeFinishDecision(const RequestRow &row, Outcome outcome, ResultCode code, TimePoint now);

RequestMetrics makeMeasurement(
    const RequestRow &row, Outcome outcome, ResultCode code, std::uint32_t wastedTokens, TimePoint now);

/** A whole answer that is not streamed. */
void replyWhole(const RequestId &request,
                const RecordedAnswer &answer,
                Outcome outcome,
                bool replayed,
                std::optional<Duration> retryAfter,
                Commands &commands);

/** What becomes of a question about a key. */
void replyStatus(const ClaimStatus &status, Commands &commands);

/** The outcome of that name; the fallback if there is none. */
Outcome outcomeNamed(const std::string &name, Outcome fallback);

} // namespace GeraniumLever
