/** When a request may be sent to another upstream. */
#pragma once

#include <optional>

#include "servers/relay/relay_row.h"

namespace GeraniumLever {

/** Why the request may not be sent again; absent if it may. */
std::optional<GiveUpReason> retryObstacleOf(const RelayRow &row, TimePoint now);

/** Time without any part of the response after which another upstream should take the request over. */
Duration silenceLimitOf(const RelayRow &row);

} // namespace GeraniumLever
