/** Admission of a relayed request: matches the route, validates the key and picks the pool. */
#pragma once

#include "servers/relay/relay_row.h"

namespace GeraniumLever {

/** Limits on how stale the information may be that a node acts on. */
struct StalenessLimits
{
    /** Maximum time for which a key may still be accepted after its removal. */
    Duration keyLifetime = std::chrono::seconds(5);

    auto operator<=>(const StalenessLimits &) const = default;
};

/** Retry-after time for requests that arrive before a usable configuration. */
constexpr Duration ConfigurationRetryAfter = std::chrono::milliseconds(500);

/** Returns the new row, or why the request is rejected. draw: uniform in [0, 1), selects one of the route's pools. */
Result<RelayRow> admitRelayRequest(const RelayRequest &request,
                                   const ConfigurationTracker &configuration,
                                   const StalenessLimits &limits,
                                   double draw,
                                   TimePoint now);

} // namespace GeraniumLever
