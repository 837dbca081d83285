#include "servers/scheduling/health_system.h"

#include <algorithm>

#include "servers/scheduling/decision_record.h"
#include "servers/scheduling/seats.h"
#include "servers/scheduling/slot_replies.h"

namespace GeraniumLever {

namespace {

/** Times slower than the median at which an upstream is ejected. */
constexpr double EjectionSlowness = 2.5;

/** Times slower than the median at which an ejected upstream is readmitted. */
constexpr double ReadmissionSlowness = 1.5;

constexpr Duration ProbeInterval = std::chrono::seconds(5);

/** Lost attempts in a row, not refused ones, after which the upstream gets no new attempts for a while. */
constexpr std::uint32_t ToleratedLosses = 1;

constexpr Duration FirstBackoff = std::chrono::milliseconds(500);
constexpr Duration MaxBackoff = std::chrono::seconds(16);

/** Fewer tokens make an unsteady gap. */
constexpr std::uint32_t MinTokensForGap = 4;

/** Learns the gap between tokens since the attempt was last heard of. */
void noteGap(ShardState &state, RunningAttempt &attempt, std::uint32_t tokens, TimePoint now)
{
    if (!attempt.firstToken || tokens < attempt.tokens + MinTokensForGap) {
        return;
    }
    const UpstreamState *upstream = state.upstreams.find(attempt.upstream);
    if (upstream == nullptr) {
        return;
    }
    const Duration gap = (now - attempt.lastHeard) / static_cast<Duration::rep>(tokens - attempt.tokens);
    state.speeds.noteGap(attempt.upstream, std::max<std::uint32_t>(1, upstream->inFlight), gap);
}

void noteFirstToken(ShardState &state, RunningAttempt &attempt, Duration firstToken)
{
    const std::uint64_t computed = attempt.prefillAhead + attempt.uncachedTokens;
    state.speeds.noteFirstToken(attempt.upstream, static_cast<std::uint32_t>(computed), firstToken);
    state.finishPrefill(attempt);
    attempt.firstToken = firstToken;
}

void noteFailure(ShardState &state, UpstreamState &upstream, bool refused, TimePoint now)
{
    ++upstream.failures;
    state.prefixes.forget(upstream.name);
    if (!refused && upstream.failures <= ToleratedLosses) {
        return;
    }
    const bool wasClosed = now < upstream.closedUntil;
    if (wasClosed) {
        return;
    }
    const std::uint32_t doublings = std::min<std::uint32_t>(upstream.failures / std::max(1U, upstream.seats), 5);
    upstream.closedUntil = now + std::min(FirstBackoff * (1 << doublings), MaxBackoff);
}

} // namespace

void noteProgress(ShardState &state, const AttemptProgress &progress, TimePoint now)
{
    RunningAttempt *attempt = state.running.edit(progress.attempt);
    if (attempt == nullptr) {
        return;
    }
    if (!attempt->firstToken && progress.firstToken) {
        noteFirstToken(state, *attempt, *progress.firstToken);
    } else if (!progress.readerSlow) {
        noteGap(state, *attempt, progress.tokens, now);
    }
    attempt->tokens = progress.tokens;
    attempt->lastHeard = now;
}

void noteEnd(ShardState &state, const RunningAttempt &ended, const AttemptEnd &end, TimePoint now)
{
    RunningAttempt attempt = ended;
    UpstreamState *upstream = state.upstreams.edit(attempt.upstream);
    const bool lost = end.ending == AttemptEnding::Lost;
    const bool refused = end.ending == AttemptEnding::Refused;
    if (upstream != nullptr && (lost || refused)) {
        noteFailure(state, *upstream, refused, now);
        return;
    }
    if (end.ending != AttemptEnding::Completed) {
        return;
    }
    if (upstream != nullptr) {
        upstream->failures = 0;
        upstream->closedUntil = TimePoint {};
    }
    if (!attempt.firstToken && end.firstToken) {
        const std::uint64_t computed = attempt.prefillAhead + attempt.uncachedTokens;
        state.speeds.noteFirstToken(attempt.upstream, static_cast<std::uint32_t>(computed), *end.firstToken);
    }
    if (!end.readerSlow) {
        noteGap(state, attempt, end.tokens, now);
    }
    state.classes.noteSeatTime(attempt.requestClass, now - attempt.granted);
    if (!attempt.resumed) {
        state.lengths.note(attempt.requestClass, attempt.team, end.tokens);
    }
}

void reviewSpeeds(ShardState &state, TimePoint now, Commands &commands)
{
    std::vector<UpstreamState *> bySlowness;
    std::size_t ejected = 0;
    for (auto &[name, upstream] : state.upstreams) {
        upstream.slowness = state.speeds.slowness(name);
        if (upstream.ejected && upstream.slowness < ReadmissionSlowness) {
            upstream.ejected = false;
            commands.push_back(ejectionDecision(name, false, upstream.slowness));
        }
        ejected += upstream.ejected ? 1 : 0;
        bySlowness.push_back(&upstream);
    }
    std::stable_sort(bySlowness.begin(), bySlowness.end(), [](const UpstreamState *first, const UpstreamState *second) {
        return first->slowness > second->slowness;
    });
    for (UpstreamState *upstream : bySlowness) {
        if (upstream->ejected || upstream->slowness < EjectionSlowness || 2 * (ejected + 1) > state.upstreams.size()) {
            continue;
        }
        ++ejected;
        upstream->ejected = true;
        upstream->nextProbe = now + ProbeInterval;
        commands.push_back(ejectionDecision(upstream->name, true, upstream->slowness));
    }
}

void probeEjected(ShardState &state, TimePoint now, Commands &commands)
{
    for (auto &[name, upstream] : state.upstreams) {
        if (!upstream.ejected || !upstream.open() || now < upstream.nextProbe || upstream.inFlight > 0) {
            continue;
        }
        const WaitingRequest *waiting = state.queue.newestOfLowest();
        if (waiting == nullptr || waiting->tier == 0 || excludes(waiting->request, name)) {
            continue;
        }
        upstream.nextProbe = now + ProbeInterval;
        const RequestId request = waiting->request.request;
        grant(state, request, expectedAt(state, waiting->request, upstream), ProbeReason, now, commands);
    }
}

} // namespace GeraniumLever
