/** What the selection of an upstream needs to know about a request. */
#pragma once

#include <optional>
#include <set>

#include "servers/relay/relay_row.h"

namespace GeraniumLever {

/** When the silence of several upstreams is taken for one that they share, and that will soon end for all. */
enum class CommonSilence : std::uint8_t {
    Never,
    /** If none has responded. */
    OfAll,
    /** If not more have responded than are silent. */
    OfMost,
};

/** Inputs of the selection. */
struct PlacementQuery
{
    PoolName pool;
    bool engine = false;
    bool sharesPrefixes = false;
    /** Connections that one upstream accepts from all nodes together; 0 if no limit is set. */
    std::uint32_t maxConnections = 0;
    /** Tokens that fit in one engine's KV cache; 0 if not stated. */
    std::uint64_t kvCacheTokens = 0;
    /** Target time to the first part of the response. */
    Duration target { 0 };
    /** Target for the longest gap between two parts of the response. */
    Duration tokenGapTarget { 0 };
    PromptInfo prompt;
    /** The only software version that may serve the request; absent if any may. */
    std::optional<std::string> version;
    /** True if the request begins a stream whose version must be noted before. */
    bool needsNotedVersion = false;
    /** Upstreams that must not be selected because an attempt there has failed. */
    std::set<UpstreamName> excluded;
    /** If set, only one of these upstreams may be selected, because the request may go to no further one. */
    std::optional<std::set<UpstreamName>> allowed;
    /** If set, only an upstream will do that has not failed recently and has responded within this time. One without
     *  requests of this node will do if none of these can serve the request. */
    std::optional<Duration> maxSilence;
    /** During a common silence, none will do. */
    CommonSilence commonSilence = CommonSilence::Never;

    bool accepts(const std::string &upstreamVersion) const
    {
        return version.value_or(upstreamVersion) == upstreamVersion;
    }

    bool allows(const UpstreamName &upstream) const { return !allowed.has_value() || allowed->count(upstream) > 0; }
};

PlacementQuery placementQueryOf(const RelayRow &row);

/** For the replacement of a silent attempt. */
PlacementQuery takeoverQueryOf(const RelayRow &row, TimePoint now);

/** As placementQueryOf(), but without the upstreams that the request has been sent to. */
PlacementQuery newUpstreamQueryOf(const RelayRow &row);

} // namespace GeraniumLever
