/** Choice of the upstream with the least expected time to first token. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** An upstream for a request, and what was expected of it. */
struct UpstreamChoice
{
    UpstreamName upstream;
    /** Prompt tokens that it will have to compute. */
    std::uint32_t uncachedTokens = 0;
    /** Seconds; 0 as long as no speed has been measured. */
    double expectedFirstTokenSeconds = 0.0;
};

/** Prompt tokens of the request that are probably not in the upstream's prefix cache. */
std::uint32_t uncachedTokens(const ShardState &state, const SlotRequest &request, const UpstreamName &upstream);

/** What is expected if the request is sent to the upstream now. */
UpstreamChoice evaluateUpstream(const ShardState &state, const SlotRequest &request, const UpstreamState &upstream);

/** The best upstream with a free seat; nothing if none is open to the request. */
std::optional<UpstreamChoice> chooseUpstream(const ShardState &state, const SlotRequest &request, TimePoint now);

} // namespace GeraniumLever
