/** When a request may be sent to another upstream. */
#pragma once

#include <optional>

#include "servers/relay/relay_row.h"

namespace GeraniumLever {

/** Time for which a silent attempt goes on beside its replacement. An upstream that turns requests away, or cannot be
 *  reached, shows it sooner; in more time, both might do the work. */
constexpr Duration StandbyTime = std::chrono::milliseconds(250);

/** Time for which even sound upstreams may be silent before they go on. */
constexpr Duration CommonSilenceTime = std::chrono::milliseconds(1500);

/** False if the request needs no check of its deadline, its wait or its upstream's silence now. */
bool mayBeDue(const RelayRow &row, TimePoint now);

/** False if the request has been sent to as many upstreams as its route allows. */
bool mayUseNewUpstream(const RelayRow &row);

/** Why the request may not be sent again; absent if it may. */
std::optional<GiveUpReason> retryObstacleOf(const RelayRow &row, TimePoint now);

/** Time in which a broken stream must be resumed, or it is given up, since its caller will soon leave. */
Duration resumeTimeoutOf(const RelayRow &row);

/** Time without any part of the response after which another upstream should take the request over. Unlimited
 *  while the response is not read. */
Duration silenceLimitOf(const RelayRow &row);

} // namespace GeraniumLever
