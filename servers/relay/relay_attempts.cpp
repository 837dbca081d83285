#include "servers/relay/relay_attempts.h"

#include <algorithm>
#include <utility>

#include "servers/relay/relay_records.h"
#include "servers/relay/retry_rules.h"

namespace GeraniumLever {

RelayDispatch dispatchOf(const RelayRow &row, TimePoint now)
{
    RelayDispatch command;
    command.request = row.request.request;
    command.attempt = row.attempt;
    command.upstream = row.upstream.name;
    command.address = row.upstream.address;
    command.team = row.team;
    command.timeLeft = row.deadline - now;
    command.tier = row.tier;
    command.tierCount = row.table->tierCount();
    command.engine = row.traits != nullptr && row.traits->engines;
    command.streamed = row.route->streamed;
    command.resumable = row.route->resumable;
    command.resumes = row.phase == RelayPhase::Answering;
    command.freshConnection = !row.isRetryable();
    command.readPaused = row.callerBacklogged;
    return command;
}

void RelayAttempts::start(RelayRow &row, const Placement &placement, TimePoint now)
{
    row.attempt = AttemptId(origin_, ++lastSequence_);
    row.upstream = placement.upstream;
    row.upstreamVersion = placement.version;
    row.dispatchedAt = now;
    row.progressAt = now;
    row.isSilent = false;
    row.unreadTokens = placement.unreadTokens;
    ++row.attempts;
    ++row.attemptsByUpstream[row.upstream.name];
    requests_.emplace(row.attempt, row.request.request);
    placement_.load(row.upstream.name).begin(row.tokens(), row.unreadTokens, now);
    placement_.noteSent(placementQueryOf(row), row.unreadTokens, now);
}

void RelayAttempts::noteProgress(RelayRow &row, const RelayProgress &progress, TimePoint now, RelayCommands &commands)
{
    if (progress.heldBack) {
        noteHeldBack(row, progress.attempt, now, commands);
        return;
    }
    if (row.isOnStandby(progress.attempt)) {
        revive(row, now, commands);
    }
    cancelStandby(row, commands);
    UpstreamLoad &load = placement_.load(row.upstream.name);
    load.noteTokenGap(now - row.progressAt, now);
    row.longestGap = std::max(row.longestGap, now - row.progressAt);
    row.progressAt = now;
    if (std::exchange(row.isSilent, false)) {
        load.noteAnswered(now);
    }
}

void RelayAttempts::noteHeldBack(RelayRow &row, const AttemptId &attempt, TimePoint now, RelayCommands &commands)
{
    // A stream that has begun cannot go on with a response that is held back.
    if (row.firstByte.has_value()) {
        return;
    }
    placement_.load(row.upstreamOf(attempt).name).noteSign(now);
    if (row.isOnStandby(attempt)) {
        // If the responses to both attempts arrive, the one that was sent first goes on.
        if (row.attempt < attempt) {
            row.standby->progressAt = now;
            return;
        }
        // The other attempt stays on standby, since this response may still break.
        revive(row, now, commands);
    }
    row.progressAt = now;
    if (std::exchange(row.isSilent, false)) {
        placement_.load(row.upstream.name).noteAnswered(now);
    }
}

void RelayAttempts::end(RelayRow &row)
{
    UpstreamLoad &load = placement_.load(row.upstream.name);
    load.noteRead(std::exchange(row.unreadTokens, 0));
    load.end(row.tokens());
    requests_.erase(row.attempt);
    row.attempt = AttemptId();
}

void RelayAttempts::endUnsent(RelayRow &row)
{
    ++row.failedConnects;
    --row.attempts;
    if (--row.attemptsByUpstream.at(row.upstream.name) == 0) {
        row.attemptsByUpstream.erase(row.upstream.name);
    }
    end(row);
}

void RelayAttempts::cancel(RelayRow &row, RelayCommands &commands)
{
    commands.emplace_back(RelayCancel { row.attempt });
    end(row);
}

void RelayAttempts::putOnStandby(RelayRow &row, TimePoint endsAt)
{
    row.standby = StandbyAttempt { std::exchange(row.attempt, AttemptId()),
                                   row.upstream,
                                   row.upstreamVersion,
                                   row.phase,
                                   row.dispatchedAt,
                                   row.progressAt,
                                   std::exchange(row.unreadTokens, 0),
                                   endsAt };
}

void RelayAttempts::revive(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    const StandbyAttempt standby = *std::exchange(row.standby, std::nullopt);
    if (row.attempt != AttemptId()) {
        putOnStandby(row, standby.endsAt);
    }
    row.attempt = standby.attempt;
    row.upstream = standby.upstream;
    row.upstreamVersion = standby.upstreamVersion;
    row.phase = standby.phase;
    row.dispatchedAt = standby.dispatchedAt;
    row.progressAt = standby.progressAt;
    row.unreadTokens = standby.unreadTokens;
    row.isSilent = now - row.progressAt >= silenceLimitOf(row);
    commands.emplace_back(recordRevival(row, now));
}

void RelayAttempts::endStandby(RelayRow &row)
{
    const StandbyAttempt standby = *std::exchange(row.standby, std::nullopt);
    UpstreamLoad &load = placement_.load(standby.upstream.name);
    load.noteRead(standby.unreadTokens);
    load.end(row.tokens());
    requests_.erase(standby.attempt);
}

void RelayAttempts::cancelStandby(RelayRow &row, RelayCommands &commands)
{
    if (row.standby.has_value()) {
        commands.emplace_back(RelayCancel { row.standby->attempt });
        endStandby(row);
    }
}

void RelayAttempts::setCallerBacklogged(RelayRow &row, bool backlogged, TimePoint now, RelayCommands &commands)
{
    row.callerBacklogged = backlogged;
    row.isSilent = false;
    row.progressAt = now;
    if (row.attempt != AttemptId()) {
        commands.emplace_back(RelaySetReading { row.attempt, !backlogged });
    }
    if (row.standby.has_value()) {
        row.standby->progressAt = now;
        row.standby->endsAt = backlogged ? TimePoint::max() : now + StandbyTime;
        commands.emplace_back(RelaySetReading { row.standby->attempt, !backlogged });
    }
}

std::optional<RequestId> RelayAttempts::requestOf(const AttemptId &attempt) const
{
    const auto found = requests_.find(attempt);
    return found == requests_.end() ? std::nullopt : std::optional<RequestId>(found->second);
}

} // namespace GeraniumLever
