/** How many upstreams of a pool may be out of service at once. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** Time after which an upstream's last report says nothing any more. */
constexpr Duration ReportLifetime = std::chrono::seconds(10);

/** A load report and when it arrived. */
struct ReceivedReport
{
    LoadReport report;
    TimePoint at;

    auto operator<=>(const ReceivedReport &) const = default;
};

using Reports = Table<UpstreamName, ReceivedReport>;

/** The upstream's last report; nullptr if it is too old. */
const LoadReport *freshReport(const Reports &reports, const UpstreamName &upstream, TimePoint now);

/** A pool's limits as far as they fall to one node: a pool whose upstreams are scheduled by several nodes has its
 * limits divided among them in proportion to their upstreams. */
struct PoolShare
{
    /** Fewest ready upstreams that this node must leave; rounded up, so that the sum is never below the pool's. */
    std::uint32_t minimumReady = 0;
    /** Most upstreams that load at the same time; at least 1, so that every node gets on. */
    std::uint32_t maxLoading = 1;

    auto operator<=>(const PoolShare &) const = default;
};

/** The share of a node that is responsible for the given upstreams. */
PoolShare shareOf(const Catalog &catalog,
                  const Pool &pool,
                  const DataCenterName &dataCenter,
                  std::uint32_t responsible);

/** What an engine should run. */
struct EngineState
{
    /** Empty means any. */
    std::string modelVersion;
    std::string adapter;
    /** Empty means any. */
    std::string role;

    auto operator<=>(const EngineState &) const = default;
};

/** The state that the catalog wants; nothing for a plain service or an unknown upstream. */
std::optional<EngineState> wantedState(const Catalog &catalog, const UpstreamName &upstream);

bool matches(const EngineState &wanted, const LoadReport &report);

} // namespace GeraniumLever
