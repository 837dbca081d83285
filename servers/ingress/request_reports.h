/** Builds log lines, measurements and unstreamed replies from a request's row. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"
#include "servers/claims/claims.h"
#include "servers/ingress/request_row.h"

namespace GeraniumLever {

/** A decision about the request, with the fields that all of its decision lines share. */
Decision makeDecision(const char *kind, const RequestRow &row);

void addField(Decision &decision, const char *name, std::string value);

/** The last log line of a request. */
Decision makeFinishDecision(const RequestRow &row, Outcome outcome, ResultCode code, TimePoint now);

RequestMetrics makeMeasurement(
    const RequestRow &row, Outcome outcome, ResultCode code, std::uint32_t wastedTokens, TimePoint now);

/** Sends the caller a complete answer that is not streamed. */
void replyWithAnswer(const RequestId &request,
                     const RecordedAnswer &answer,
                     Outcome outcome,
                     bool replayed,
                     std::optional<Duration> retryAfter,
                     Commands &commands);

/** Answers a caller's query for the status of a key. */
void replyStatus(const ClaimStatus &status, Commands &commands);

/** The outcome with the name; the fallback if there is no such outcome. */
Outcome parseOutcome(const std::string &name, Outcome fallback);

} // namespace GeraniumLever
