#include "development/slopes/slope_catalogs.h"

#include <cstdio>

namespace GeraniumLever {

namespace {

constexpr std::uint32_t SeatsPerUpstream = 8;
constexpr std::uint32_t TierCount = 6;

/** As long as a SHA-256 in hex, and different for each team. */
std::string fakeKeyHash(std::size_t team)
{
    char text[65];
    std::snprintf(text, sizeof text, "%064zx", team);
    return text;
}

} // namespace

CatalogPtr makeSlopeCatalog(const CatalogSize &size)
{
    std::vector<EntityChange> changes;
    for (std::uint32_t tier = 0; tier < TierCount; ++tier) {
        RequestClass requestClass;
        requestClass.name = ClassName("tier-" + std::to_string(tier));
        requestClass.tier = tier;
        changes.emplace_back(requestClass);
    }
    for (std::size_t i = 0; i < size.teams; ++i) {
        Team team;
        team.name = TeamName("team-" + std::to_string(i));
        team.keyHashes = { fakeKeyHash(i) };
        changes.emplace_back(team);
    }
    for (std::size_t i = 0; i < size.models; ++i) {
        const std::string name = "model-" + std::to_string(i);
        changes.emplace_back(Model { ModelName(name), "1", "" });
        Pool pool;
        pool.name = PoolName(name);
        pool.model = ModelName(name);
        changes.emplace_back(pool);
    }
    for (std::size_t i = 0; i < size.upstreams; ++i) {
        Upstream upstream;
        upstream.name = UpstreamName("engine-" + std::to_string(i));
        upstream.pool = PoolName("model-" + std::to_string(i % size.models));
        upstream.dataCenter = DataCenterName("dc");
        upstream.address = "127.0.0.1:9000";
        upstream.seats = SeatsPerUpstream;
        changes.emplace_back(upstream);
    }
    return std::make_shared<const Catalog>(Catalog().withChanges(changes, TicketNumber(1)));
}

} // namespace GeraniumLever
