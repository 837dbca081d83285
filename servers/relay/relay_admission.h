/** The first look at a relayed request: route, key and pool. */
#pragma once

#include "servers/relay/relay_row.h"

namespace GeraniumLever {

/** Limits of what a node may rely on. */
struct KnowledgeLimits
{
    /** A key may not be honoured longer than this after its removal. */
    Duration keyLifetime = std::chrono::seconds(5);

    auto operator<=>(const KnowledgeLimits &) const = default;
};

/** When a request that no configuration can answer yet should come back. */
constexpr Duration ConfigurationRetryAfter = std::chrono::milliseconds(500);

/** The new row, or why the request is refused. draw: uniform in [0, 1), picks among the route's pools. */
Result<RelayRow> admitRelayRequest(const RelayRequest &request,
                                   const ConfigurationTracker &configuration,
                                   const KnowledgeLimits &limits,
                                   double draw,
                                   TimePoint now);

} // namespace GeraniumLever
