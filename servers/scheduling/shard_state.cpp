#include "servers/scheduling/shard_state.h"

#include <algorithm>

namespace GeraniumLever {

void ShardState::addAttempt(RunningAttempt attempt, TimePoint now)
{
    removeAttempt(attempt.attempt, now);
    if (UpstreamState *upstream = upstreams.edit(attempt.upstream); upstream != nullptr) {
        ++upstream->inFlight;
        upstream->inFlightPeak.record(upstream->inFlight, now);
        upstream->pendingPrefillTokens[attempt.tier] += attempt.firstToken ? 0 : attempt.uncachedTokens;
    }
    pausing += attempt.pausing ? 1 : 0;
    running.add(std::move(attempt));
}

std::optional<RunningAttempt> ShardState::removeAttempt(AttemptId attempt, TimePoint now)
{
    std::optional<RunningAttempt> removed = running.remove(attempt);
    if (!removed) {
        return removed;
    }
    pausing -= removed->pausing ? 1 : 0;
    if (UpstreamState *upstream = upstreams.edit(removed->upstream); upstream != nullptr) {
        // The peak of this second must include the attempt, since a load report may have counted it just before.
        upstream->inFlightPeak.record(upstream->inFlight, now);
        --upstream->inFlight;
    }
    if (!removed->firstToken) {
        finishPrefill(*removed);
    }
    return removed;
}

void ShardState::finishPrefill(const RunningAttempt &attempt)
{
    if (UpstreamState *upstream = upstreams.edit(attempt.upstream); upstream != nullptr) {
        std::uint64_t &pending = upstream->pendingPrefillTokens[attempt.tier];
        pending -= std::min<std::uint64_t>(pending, attempt.uncachedTokens);
    }
}

std::uint32_t ShardState::weightOf(const TeamName &team) const
{
    const Team *row = catalog->teams().find(team);
    return row == nullptr ? 1 : std::max<std::uint32_t>(1, row->weight);
}

} // namespace GeraniumLever
