/** Limits how many upstreams of a pool may be out of service at the same time. */
#pragma once

#include <optional>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** Time after which the last load report of an upstream is ignored. */
constexpr Duration ReportLifetime = std::chrono::seconds(10);

/** A load report and its time of arrival. */
struct ReceivedReport
{
    LoadReport report;
    TimePoint at;

    auto operator<=>(const ReceivedReport &) const = default;
};

using Reports = Table<UpstreamName, ReceivedReport>;

/** The last report of the upstream; nullptr if there is none or it is too old. */
const LoadReport *freshReport(const Reports &reports, const UpstreamName &upstream, TimePoint now);

/** One node's share of the limits of a pool. If several nodes schedule the upstreams of a pool, its limits are divided
 * among them in proportion to the number of upstreams that each schedules. */
struct RolloutLimits
{
    /** Minimum number of upstreams that this node must keep ready. Rounded up, so that the sum of all shares is never
     * below the minimum of the pool. */
    std::uint32_t minimumReady = 0;
    /** Maximum number of upstreams that load at the same time; at least 1, so that every node makes progress. */
    std::uint32_t maxLoading = 1;

    auto operator<=>(const RolloutLimits &) const = default;
};

/** The limits for a node that is responsible for the given number of upstreams. */
RolloutLimits rolloutLimitsFor(const Catalog &catalog,
                               const Pool &pool,
                               const DataCenterName &dataCenter,
                               std::uint32_t responsible);

/** The model version, adapter and role that an engine runs or should run. */
struct EngineState
{
    /** Empty means any. */
    std::string modelVersion;
    std::string adapter;
    /** Empty means any. */
    std::string role;

    auto operator<=>(const EngineState &) const = default;
};

/** The desired state of the upstream's engine; std::nullopt for a plain service or an unknown upstream. */
std::optional<EngineState> desiredState(const Catalog &catalog, const UpstreamName &upstream);

bool matches(const EngineState &desired, const LoadReport &report);

} // namespace GeraniumLever
