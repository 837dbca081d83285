#include "servers/relay/relay_admission.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

const PoolShare &pickPool(const std::vector<PoolShare> &pools, double draw)
{
    double sum = 0.0;
    for (const PoolShare &share : pools) {
        sum += share.weight;
    }
    double left = draw * sum;
    for (const PoolShare &share : pools) {
        left -= share.weight;
        if (left < 0.0) {
            return share;
        }
    }
    return pools.front();
}

} // namespace

Result<RelayRow> admitRelayRequest(const RelayRequest &request,
                                   const ConfigurationTracker &configuration,
                                   const StalenessLimits &limits,
                                   double draw,
                                   TimePoint now)
{
    const RouteTablePtr &table = configuration.table();
    if (table == nullptr) {
        return Error { ResultCode::NotReady, "the node has no configuration yet", ConfigurationRetryAfter };
    }
    const Route *route = table->match(request.host, request.path);
    if (route == nullptr) {
        return Error { ResultCode::UnknownPath, "no route matches this host and path", std::nullopt };
    }
    RelayRow row;
    const RouteTeam *team = nullptr;
    if (table->needsKey(*route)) {
        if (configuration.age(now).value_or(Duration::max()) > limits.keyLifetime) {
            return Error { ResultCode::ConfigurationOutdated,
                           "the configuration is too old to validate keys",
                           ConfigurationRetryAfter };
        }
        team = table->teamOf(request.key);
        if (team == nullptr) {
            return Error { ResultCode::Unauthorized, "the key does not belong to any team", std::nullopt };
        }
        row.team = team->name;
    }
    row.tier = table->tierOf(*route, team);
    row.request = request;
    row.table = table;
    row.route = route;
    row.pool = pickPool(route->pools, draw).pool;
    row.traits = table->pool(row.pool);
    row.arrivedAt = now;
    row.deadline = now + std::min(request.deadline.value_or(route->timeout), route->timeout);
    row.waitUntil = row.deadline;
    return row;
}

} // namespace GeraniumLever
