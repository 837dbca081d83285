/** Choice of another data centre for a request that the own one cannot serve in time. */
#pragma once

#include <cstdint>
#include <optional>

#include "core/core.h"
#include "servers/membership/membership.h"

namespace GeraniumLever {

/** A ready node of the data centre that is expected to start the request first, and in time; nothing if there is none.
 *  spread chooses among that data centre's nodes. */
std::optional<NodeAddress> chooseSpillTarget(const MembershipSystem &membership,
                                             const PoolName &pool,
                                             std::uint32_t tier,
                                             Duration timeLeft,
                                             std::uint64_t spread);

} // namespace GeraniumLever
