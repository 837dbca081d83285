#include "servers/scheduling/preemption_system.h"

#include <algorithm>
#include <tuple>

#include "servers/scheduling/decision_record.h"
#include "servers/scheduling/seats.h"
#include "servers/scheduling/wait_estimate.h"

namespace GeraniumLever {

namespace {

/** Maximum number of waiting requests per class that one call considers. */
constexpr std::size_t MaxCandidatesPerClass = 64;

/** True if the attempt may be paused for a request of the tier, and the freed seat could be granted. */
bool canPause(const ShardState &state, const RunningAttempt &attempt, std::uint32_t tier, TimePoint now)
{
    if (!attempt.preemptible || attempt.pausing || attempt.guaranteed || attempt.tier <= tier) {
        return false;
    }
    const UpstreamState *upstream = state.upstreams.find(attempt.upstream);
    return upstream != nullptr && upstream->isAvailable() && !upstream->ejected && now >= upstream->backoffUntil
        && upstream->inFlight <= usableSeats(state, *upstream);
}

/** Tokens to recompute if the attempt is resumed at another upstream. */
std::uint64_t tokensToRecompute(const RunningAttempt &attempt)
{
    return std::uint64_t { attempt.promptTokens } + attempt.tokens;
}

/** Prefers the lowest tier, then requests that have not been paused before, then the fewest tokens to recompute. */
bool isBetterVictim(const RunningAttempt &first, const RunningAttempt &second)
{
    return std::make_tuple(second.tier, first.resumed, tokensToRecompute(first))
        < std::make_tuple(first.tier, second.resumed, tokensToRecompute(second));
}

const RunningAttempt *chooseVictim(const ShardState &state, const WaitingRequest &waiting, TimePoint now)
{
    const RunningAttempt *victim = nullptr;
    for (const auto &[id, attempt] : state.running.attempts()) {
        if (!canPause(state, attempt, waiting.tier, now) || excludes(waiting.request, attempt.upstream)) {
            continue;
        }
        if (victim == nullptr || isBetterVictim(attempt, *victim)) {
            victim = &attempt;
        }
    }
    return victim;
}

/** Seconds that the request can still wait for a seat without becoming late or missing its deadline; negative if it is
 * too late. */
double slackOf(const WaitingRequest &waiting, TimePoint now)
{
    return std::chrono::duration<double>(std::min(waiting.onTimeUntil, waiting.deadline) - now).count();
}

} // namespace

bool pauseAttemptFor(ShardState &state, const WaitingRequest &waiting, TimePoint now, Commands &commands)
{
    if (!state.running.hasPreemptibleBelow(waiting.tier)) {
        return false;
    }
    const RunningAttempt *victim = chooseVictim(state, waiting, now);
    if (victim == nullptr) {
        return false;
    }
    RunningAttempt &attempt = *state.running.edit(victim->attempt);
    attempt.pausing = true;
    ++state.pausing;
    commands.push_back(PeerSend { attempt.ingress, AttemptPause { attempt.attempt, attempt.request } });
    commands.push_back(pauseDecision(attempt, waiting, now));
    return true;
}

void pauseForHigherTiers(ShardState &state, TimePoint now, Commands &commands)
{
    if (state.queue.empty()) {
        return;
    }
    const double seatsPerSecond = releaseRate(state);
    // Requests are matched, in the order of service, with the seats that pauses have freed or will free.
    std::uint32_t seatsBeingFreed = state.pausing + state.pausedSeats;
    std::uint32_t position = 0;
    for (const ClassRank &rank : state.queue.ranks()) {
        if (!state.running.hasPreemptibleBelow(rank.tier)) {
            return;
        }
        for (const RequestId &id : state.queue.candidates(rank, MaxCandidatesPerClass)) {
            const WaitingRequest &waiting = *state.queue.find(id);
            ++position;
            if (position <= seatsBeingFreed) {
                continue;
            }
            const double wait = seatsPerSecond > 0.0 ? (position - seatsBeingFreed) / seatsPerSecond : 0.0;
            const double slack = slackOf(waiting, now);
            if (slack > 0.0 && wait <= slack) {
                continue;
            }
            if (!pauseAttemptFor(state, waiting, now, commands)) {
                break;
            }
            ++seatsBeingFreed;
        }
    }
}

} // namespace GeraniumLever
