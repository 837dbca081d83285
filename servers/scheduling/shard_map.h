/** Assignment of a pool's upstreams in one data centre to shards. All nodes compute the same one from the catalog. */
#pragma once

#include <optional>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Maximum number of upstreams that share a scheduler. */
constexpr std::size_t MaxUpstreamsPerShard = 16;

/** The shards of a pool in a data centre, by index; empty if it has no upstream there. */
std::vector<ShardKey> shardsOf(const Catalog &catalog, const DataCenterName &dataCenter, const PoolName &pool);

/** The upstreams of a shard, in name order; empty if the catalog has no such shard. */
std::vector<UpstreamName> upstreamsOf(const Catalog &catalog, const ShardKey &shard);

/** The shard of an upstream; std::nullopt if the catalog does not have the upstream. */
std::optional<ShardKey> shardOf(const Catalog &catalog, const UpstreamName &upstream);

} // namespace GeraniumLever
