#include "servers/scheduling/scheduling.h"

#include <gtest/gtest.h>

namespace GeraniumLever {
namespace {

Catalog catalogWith(std::size_t upstreams)
{
    std::vector<EntityChange> changes { Pool { PoolName("p"), ModelName("m"), "", 1, 1 } };
    for (std::size_t index = 0; index < upstreams; ++index) {
        Upstream upstream;
        upstream.name = UpstreamName(std::string("u").append(std::to_string(100 + index)));
        upstream.pool = PoolName("p");
        upstream.dataCenter = DataCenterName("a");
        changes.push_back(upstream);
    }
    return Catalog().withChanges(changes, TicketNumber(1));
}

TEST(ShardMapTest, EveryUpstreamIsInExactlyOneShardOfAtMostSixteen)
{
    for (const std::size_t count : { 1U, 16U, 17U, 40U }) {
        const Catalog catalog = catalogWith(count);
        std::size_t seen = 0;
        for (const ShardKey &shard : shardsOf(catalog, DataCenterName("a"), PoolName("p"))) {
            const std::vector<UpstreamName> members = upstreamsOf(catalog, shard);
            EXPECT_LE(members.size(), MaxUpstreamsPerShard);
            EXPECT_FALSE(members.empty());
            for (const UpstreamName &member : members) {
                EXPECT_EQ(shardOf(catalog, member), shard);
            }
            seen += members.size();
        }
        EXPECT_EQ(seen, count);
    }
}

TEST(ShardMapTest, UnknownDataCentersShardsAndUpstreamsAreNotFound)
{
    const Catalog catalog = catalogWith(3);
    EXPECT_TRUE(shardsOf(catalog, DataCenterName("b"), PoolName("p")).empty());
    EXPECT_TRUE(upstreamsOf(catalog, ShardKey { DataCenterName("a"), PoolName("p"), 1 }).empty());
    EXPECT_FALSE(shardOf(catalog, UpstreamName("nowhere")).has_value());
}

} // namespace
} // namespace GeraniumLever
