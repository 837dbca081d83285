#include "servers/relay/relay_attempts.h"

#include <utility>

namespace GeraniumLever {

void RelayAttempts::start(RelayRow &row, const Placement &placement, TimePoint now)
{
    row.attempt = AttemptId(origin_, ++lastSequence_);
    row.upstream = placement.upstream;
    row.upstreamVersion = placement.version;
    row.dispatchedAt = now;
    row.progressAt = now;
    row.nextTakeoverAt.reset();
    row.unreadTokens = placement.unreadTokens;
    ++row.attempts;
    requests_.emplace(row.attempt, row.request.request);
    placement_.load(row.upstream.name).begin(row.tokens(), row.unreadTokens, now);
    placement_.noteSent(placementQueryOf(row), row.unreadTokens, now);
}

void RelayAttempts::end(RelayRow &row)
{
    UpstreamLoad &load = placement_.load(row.upstream.name);
    load.noteRead(std::exchange(row.unreadTokens, 0));
    load.end(row.tokens());
    requests_.erase(row.attempt);
    row.attempt = AttemptId();
}

std::optional<RequestId> RelayAttempts::requestOf(const AttemptId &attempt) const
{
    const auto found = requests_.find(attempt);
    return found == requests_.end() ? std::nullopt : std::optional<RequestId>(found->second);
}

} // namespace GeraniumLever
