#include "servers/scheduling/shard_map.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** The pool's upstreams in the data centre, in name order. */
std::vector<UpstreamName> membersOf(const Catalog &catalog, const DataCenterName &dataCenter, const PoolName &pool)
{
    std::vector<UpstreamName> members;
    for (const auto &[name, upstream] : catalog.upstreams()) {
        if (upstream.pool == pool && upstream.dataCenter == dataCenter) {
            members.push_back(name);
        }
    }
    return members;
}

/** Smallest number of shards for the given number of upstreams. */
std::size_t shardCount(std::size_t upstreams)
{
    return (upstreams + MaxUpstreamsPerShard - 1) / MaxUpstreamsPerShard;
}

} // namespace

std::vector<ShardKey> shardsOf(const Catalog &catalog, const DataCenterName &dataCenter, const PoolName &pool)
{
    const std::size_t count = shardCount(membersOf(catalog, dataCenter, pool).size());
    std::vector<ShardKey> shards;
    shards.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        shards.push_back(ShardKey { dataCenter, pool, static_cast<std::uint32_t>(index) });
    }
    return shards;
}

std::vector<UpstreamName> upstreamsOf(const Catalog &catalog, const ShardKey &shard)
{
    const std::vector<UpstreamName> members = membersOf(catalog, shard.dataCenter, shard.pool);
    const std::size_t count = shardCount(members.size());
    std::vector<UpstreamName> upstreams;
    if (shard.index >= count) {
        return upstreams;
    }
    // Round-robin assignment: shard sizes differ by at most one, so no shard is left with a single upstream.
    for (std::size_t position = shard.index; position < members.size(); position += count) {
        upstreams.push_back(members[position]);
    }
    return upstreams;
}

std::optional<ShardKey> shardOf(const Catalog &catalog, const UpstreamName &upstream)
{
    const Upstream *row = catalog.upstreams().find(upstream);
    if (row == nullptr) {
        return std::nullopt;
    }
    const std::vector<UpstreamName> members = membersOf(catalog, row->dataCenter, row->pool);
    const std::vector<UpstreamName>::const_iterator found = std::lower_bound(members.begin(), members.end(), upstream);
    const std::size_t position = static_cast<std::size_t>(found - members.begin());
    const std::size_t count = shardCount(members.size());
    return ShardKey { row->dataCenter, row->pool, static_cast<std::uint32_t>(position % count) };
}

} // namespace GeraniumLever
