#include "servers/orders/rollout_budget.h"

#include <algorithm>
#include <optional>

namespace GeraniumLever {

const LoadReport *freshReport(const Reports &reports, const UpstreamName &upstream, TimePoint now)
{
    const ReceivedReport *received = reports.find(upstream);
    const bool fresh = received != nullptr && now - received->at <= ReportLifetime;
    return fresh ? &received->report : nullptr;
}

PoolShare shareOf(const Catalog &catalog, const Pool &pool, const DataCenterName &dataCenter, std::uint32_t responsible)
{
    std::uint32_t all = 0;
    for (const auto &[name, upstream] : catalog.upstreams()) {
        all += upstream.pool == pool.name && upstream.dataCenter == dataCenter ? 1 : 0;
    }
    if (all == 0) {
        return { pool.minimumReady, 0 };
    }
    const std::uint64_t floor = std::uint64_t(pool.minimumReady) * responsible;
    const std::uint64_t loading = std::uint64_t(pool.maxLoading) * responsible / all;
    return { static_cast<std::uint32_t>((floor + all - 1) / all),
             static_cast<std::uint32_t>(std::max<std::uint64_t>(1, loading)) };
}

std::optional<EngineState> wantedState(const Catalog &catalog, const UpstreamName &upstream)
{
    const Upstream *entity = catalog.upstreams().find(upstream);
    const Pool *pool = entity == nullptr ? nullptr : catalog.pools().find(entity->pool);
    const Model *model = pool == nullptr ? nullptr : catalog.models().find(pool->model);
    if (model == nullptr) {
        return std::nullopt;
    }
    return EngineState { model->version, model->adapter, entity->role };
}

bool matches(const EngineState &wanted, const LoadReport &report)
{
    const bool version = wanted.modelVersion.empty() || wanted.modelVersion == report.modelVersion;
    const bool role = wanted.role.empty() || wanted.role == report.role;
    return version && role && wanted.adapter == report.adapter;
}

} // namespace GeraniumLever
