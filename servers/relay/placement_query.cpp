#include "servers/relay/placement_query.h"

#include "servers/relay/engine_partitioner.h"
#include "servers/relay/retry_rules.h"

namespace GeraniumLever {

PlacementQuery placementQueryOf(const RelayRow &row)
{
    PlacementQuery query;
    query.pool = row.pool;
    if (row.traits != nullptr) {
        query.engine = row.traits->engines;
        query.maxConnections = row.traits->maxConnections;
        query.kvCacheTokens = row.traits->kvCacheTokens;
    }
    query.sharesPrefixes = row.route->sharesPrefixes;
    query.target = row.route->target;
    query.tokenGapTarget = tokenGapTargetOf(*row.route);
    query.prompt = row.request.prompt;
    query.version = row.streamVersion;
    query.needsNotedVersion = row.beginsResumableStream();
    query.excluded = row.failedUpstreams;
    // A request goes back to an upstream only if its route allows no further one.
    std::set<UpstreamName> &tried = mayUseNewUpstream(row) ? query.excluded : query.allowed.emplace();
    for (const auto &[upstream, attempts] : row.attemptsByUpstream) {
        tried.insert(upstream);
    }
    return query;
}

PlacementQuery newUpstreamQueryOf(const RelayRow &row)
{
    PlacementQuery query = placementQueryOf(row);
    for (const auto &[upstream, attempts] : row.attemptsByUpstream) {
        query.excluded.insert(upstream);
    }
    return query;
}

PlacementQuery takeoverQueryOf(const RelayRow &row, TimePoint now)
{
    PlacementQuery query = newUpstreamQueryOf(row);
    query.maxSilence = silenceLimitOf(row) / 2;
    if (now - row.progressAt < CommonSilenceTime) {
        // A request that has not begun is not cut, and may have little time.
        query.commonSilence = row.firstByte.has_value() ? CommonSilence::OfMost : CommonSilence::OfAll;
    }
    return query;
}

} // namespace GeraniumLever
