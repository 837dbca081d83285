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

RolloutLimits rolloutLimitsFor(const Catalog &catalog,
                               const Pool &pool,
                               const DataCenterName &dataCenter,
                               std::uint32_t responsible)
{
    std::uint32_t total = 0;
    for (const auto &[name, upstream] : catalog.upstreams()) {
        total += upstream.pool == pool.name && upstream.dataCenter == dataCenter ? 1 : 0;
    }
    if (total == 0) {
        return { pool.minimumReady, 0 };
    }
    const std::uint64_t scaledMinimum = std::uint64_t(pool.minimumReady) * responsible;
    const std::uint64_t maxLoading = std::uint64_t(pool.maxLoading) * responsible / total;
    return { static_cast<std::uint32_t>((scaledMinimum + total - 1) / total),
             static_cast<std::uint32_t>(std::max<std::uint64_t>(1, maxLoading)) };
}

std::optional<EngineState> desiredState(const Catalog &catalog, const UpstreamName &upstream)
{
    const Upstream *entity = catalog.upstreams().find(upstream);
    const Pool *pool = entity == nullptr ? nullptr : catalog.pools().find(entity->pool);
    const Model *model = pool == nullptr ? nullptr : catalog.models().find(pool->model);
    if (model == nullptr) {
        return std::nullopt;
    }
    return EngineState { model->version, model->adapter, entity->role };
}

bool matches(const EngineState &desired, const LoadReport &report)
{
    const bool versionMatches = desired.modelVersion.empty() || desired.modelVersion == report.modelVersion;
    const bool roleMatches = desired.role.empty() || desired.role == report.role;
    return versionMatches && roleMatches && desired.adapter == report.adapter;
}

} // namespace GeraniumLever
