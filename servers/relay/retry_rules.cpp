#include "servers/relay/retry_rules.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

namespace {

/** Failed connection attempts, none of which reached an upstream, after which a request is given up. */
constexpr std::uint32_t MaxFailedConnects = 3;
/** Attempts for each upstream that the route allows: a request may go back to one that has not failed. */
constexpr std::uint32_t AttemptsPerUpstream = 2;
/** A retry is worth its cost only if at least this much time is left. */
constexpr Duration MinTimeForRetry = std::chrono::milliseconds(60);
/** Latency targets without the first part of the response. */
constexpr int FirstByteTimeoutTargets = 2;
constexpr Duration MinFirstByteTimeout = std::chrono::milliseconds(500);
/** Gap targets between two parts of the response. */
constexpr int StallTimeoutGaps = 4;
/** Time without an event after which callers leave, whichever is longest: a fixed one, and multiples of the targets. */
constexpr Duration MinCallerPatience = std::chrono::seconds(2);
constexpr int PatienceTargets = 4;
constexpr int PatienceGaps = 8;
/** Share of that time that is left for the search of another upstream. */
constexpr double ResumeShareOfPatience = 0.45;

/** False if the request has been sent to as many upstreams as its route allows, and cannot go back to any of them. */
bool mayUseUpstream(const RelayRow &row)
{
    if (mayUseNewUpstream(row)) {
        return true;
    }
    const bool isRunning = row.attempt != AttemptId();
    return std::any_of(row.attemptsByUpstream.begin(), row.attemptsByUpstream.end(), [&](const auto &entry) {
        const bool isCurrent = isRunning && entry.first == row.upstream.name;
        return !isCurrent && row.failedUpstreams.count(entry.first) == 0;
    });
}

} // namespace

bool mayBeDue(const RelayRow &row, TimePoint now)
{
    const bool isWaitOver = !row.hasUpstream() && now >= row.waitUntil;
    const bool isRunning = row.hasUpstream() && row.isRetryable();
    return now >= row.deadline || isWaitOver || isRunning;
}

bool mayUseNewUpstream(const RelayRow &row)
{
    return row.attemptsByUpstream.size() < row.route->maxAttempts;
}

std::optional<GiveUpReason> retryObstacleOf(const RelayRow &row, TimePoint now)
{
    const bool attemptsExhausted = row.attempts >= row.route->maxAttempts * AttemptsPerUpstream
        || row.failedConnects >= MaxFailedConnects || !mayUseUpstream(row);
    const std::pair<bool, GiveUpReason> obstacles[] = {
        { row.callerGone, GiveUpReason::CallerGone },
        { row.mayHaveRun && !row.isRetryable(), GiveUpReason::RunsOnce },
        { row.firstByte.has_value() && !row.resumable, GiveUpReason::CannotResume },
        { attemptsExhausted, GiveUpReason::NoAttemptsLeft },
        { row.deadline - now < MinTimeForRetry, GiveUpReason::NoTimeForRetry },
    };
    for (const auto &[applies, reason] : obstacles) {
        if (applies) {
            return reason;
        }
    }
    return std::nullopt;
}

Duration resumeTimeoutOf(const RelayRow &row)
{
    const Duration patience = std::max({ MinCallerPatience,
                                         Duration(row.route->target * PatienceTargets),
                                         Duration(row.route->gapTarget.value_or(Duration(0)) * PatienceGaps) });
    return std::chrono::duration_cast<Duration>(patience * ResumeShareOfPatience);
}

Duration silenceLimitOf(const RelayRow &row)
{
    if (row.callerBacklogged) {
        return Duration::max();
    }
    if (row.phase == RelayPhase::Answering) {
        return row.route->gapTarget.value_or(row.route->target) * StallTimeoutGaps;
    }
    return std::max<Duration>(row.route->target * FirstByteTimeoutTargets, MinFirstByteTimeout);
}

} // namespace GeraniumLever
