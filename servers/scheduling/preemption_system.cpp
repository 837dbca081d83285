#include "servers/scheduling/preemption_system.h"

#include <algorithm>
#include <tuple>

#include "servers/scheduling/decision_record.h"
#include "servers/scheduling/seats.h"
#include "servers/scheduling/wait_estimate.h"

namespace GeraniumLever {

namespace {

/** Waiting requests of a class that are looked at in one tick. */
constexpr std::size_t MaxUrgent = 64;

/** True if the attempt may be paused for a request of the tier, and its seat can then be used. */
bool mayPause(const ShardState &state, const RunningAttempt &attempt, std::uint32_t tier, TimePoint now)
{
    if (!attempt.preemptible || attempt.pausing || attempt.guaranteed || attempt.tier <= tier) {
        return false;
    }
    const UpstreamState *upstream = state.upstreams.find(attempt.upstream);
    return upstream != nullptr && upstream->open() && !upstream->ejected && now >= upstream->closedUntil
        && upstream->inFlight <= usableSeats(state, *upstream);
}

/** Tokens that have to be computed again if the attempt is resumed at another upstream. */
std::uint64_t workToLose(const RunningAttempt &attempt)
{
    return std::uint64_t { attempt.promptTokens } + attempt.tokens;
}

/** Lowest tier first, attempts that have not been paused before, then the least work. */
bool betterVictim(const RunningAttempt &first, const RunningAttempt &second)
{
    return std::make_tuple(second.tier, first.resumed, workToLose(first))
        < std::make_tuple(first.tier, second.resumed, workToLose(second));
}

const RunningAttempt *chooseVictim(const ShardState &state, const WaitingRequest &waiting, TimePoint now)
{
    const RunningAttempt *victim = nullptr;
    for (const auto &[id, attempt] : state.running.attempts()) {
        if (!mayPause(state, attempt, waiting.tier, now) || excludes(waiting.request, attempt.upstream)) {
            continue;
        }
        if (victim == nullptr || betterVictim(attempt, *victim)) {
            victim = &attempt;
        }
    }
    return victim;
}

/** Seconds that the request can still wait for a seat. */
double slackOf(const WaitingRequest &waiting, TimePoint now)
{
    return std::chrono::duration<double>(std::min(waiting.lateFrom, waiting.deadline) - now).count();
}

} // namespace

bool pauseOneFor(ShardState &state, const WaitingRequest &waiting, TimePoint now, Commands &commands)
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
    const double release = releaseRate(state);
    // Requests in the order of service are paired with the seats that are about to become free.
    std::uint32_t coming = state.pausing + state.pausedSeats;
    std::uint32_t position = 0;
    for (const ClassRank &rank : state.queue.ranks()) {
        if (!state.running.hasPreemptibleBelow(rank.tier)) {
            return;
        }
        for (const RequestId &id : state.queue.candidates(rank, MaxUrgent)) {
            const WaitingRequest &waiting = *state.queue.find(id);
            ++position;
            if (position <= coming) {
                continue;
            }
            const double wait = release > 0.0 ? (position - coming) / release : 0.0;
            const double slack = slackOf(waiting, now);
            if (slack > 0.0 && wait <= slack) {
                continue;
            }
            if (!pauseOneFor(state, waiting, now, commands)) {
                break;
            }
            ++coming;
        }
    }
}

} // namespace GeraniumLever
