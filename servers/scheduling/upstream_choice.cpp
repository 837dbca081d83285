#include "servers/scheduling/upstream_choice.h"

#include <algorithm>

#include "servers/scheduling/seats.h"

namespace GeraniumLever {

namespace {

/** Approximate number of tokens in a prefix block, at four bytes of text per token. */
constexpr double TokensPerBlock = PrefixBlockBytes / 4.0;

/** True if the first choice is better: its first token is expected sooner or, at equal times (as when nothing has been
 * measured), it runs fewer attempts. */
bool isBetterChoice(const ShardState &state, const UpstreamChoice &first, const UpstreamChoice &second)
{
    if (first.expectedFirstTokenSeconds != second.expectedFirstTokenSeconds) {
        return first.expectedFirstTokenSeconds < second.expectedFirstTokenSeconds;
    }
    return state.upstreams.find(first.upstream)->inFlight < state.upstreams.find(second.upstream)->inFlight;
}

} // namespace

std::uint32_t uncachedTokens(const ShardState &state, const SlotRequest &request, const UpstreamName &upstream)
{
    const std::uint32_t tokens = request.promptTokens + request.deliveredTokens;
    const double cached = state.prefixes.cachedBlocks(upstream, request.prefixHashes) * TokensPerBlock;
    return tokens - std::min(tokens, static_cast<std::uint32_t>(cached));
}

UpstreamChoice evaluateUpstream(const ShardState &state, const SlotRequest &request, const UpstreamState &upstream)
{
    UpstreamChoice choice { upstream.name, uncachedTokens(state, request, upstream.name), 0.0 };
    if (const std::optional<double> rate = state.speeds.prefillRate(upstream.name); rate) {
        const RequestClass *requestClass = state.classOf(request.requestClass);
        const std::uint64_t before = upstream.prefillAheadOf(requestClass == nullptr ? 0 : requestClass->tier);
        choice.expectedFirstTokenSeconds += static_cast<double>(before + choice.uncachedTokens) / *rate;
    }
    if (const std::optional<Duration> gap = state.speeds.gapAt(upstream.name, upstream.inFlight + 1); gap) {
        choice.expectedFirstTokenSeconds += std::chrono::duration<double>(*gap).count();
    }
    return choice;
}

std::optional<UpstreamChoice> chooseUpstream(const ShardState &state, const SlotRequest &request, TimePoint now)
{
    std::optional<UpstreamChoice> best;
    for (const auto &[name, upstream] : state.upstreams) {
        if (excludes(request, name) || !hasFreeSeat(state, upstream, now)) {
            continue;
        }
        const UpstreamChoice choice = evaluateUpstream(state, request, upstream);
        if (!best || isBetterChoice(state, choice, *best)) {
            best = choice;
        }
    }
    return best;
}

} // namespace GeraniumLever
