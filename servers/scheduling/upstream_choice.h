/** Selects the upstream with the shortest expected time to first token. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** An upstream considered for a request, with the estimates on which the choice is based. */
struct UpstreamChoice
{
    UpstreamName upstream;
    /** Prompt tokens that the upstream is expected to compute. */
    std::uint32_t uncachedTokens = 0;
    /** Expected time to first token; 0 if no speed has been measured. */
    double expectedFirstTokenSeconds = 0.0;
};

/** Prompt tokens of the request, including those already delivered, that are probably not in the upstream's prefix
 * cache. */
std::uint32_t uncachedTokens(const ShardState &state, const SlotRequest &request, const UpstreamName &upstream);

/** Estimates the outcome of sending the request to the upstream now. */
UpstreamChoice evaluateUpstream(const ShardState &state, const SlotRequest &request, const UpstreamState &upstream);

/** The best upstream with a free seat; std::nullopt if no upstream can take the request now. */
std::optional<UpstreamChoice> chooseUpstream(const ShardState &state, const SlotRequest &request, TimePoint now);

} // namespace GeraniumLever
