/** Chooses a node of another data centre for a request that this data centre cannot serve in time. */
#pragma once

#include <cstdint>
#include <optional>

#include "core/core.h"
#include "servers/membership/membership.h"

namespace GeraniumLever {

/** Returns a ready node of the other data centre with the shortest expected wait, if that wait is less than `timeLeft`;
 *  nullopt if there is none. `spread` selects among the ready nodes of that data centre. */
std::optional<NodeAddress> chooseForwardTarget(const MembershipSystem &membership,
                                               const PoolName &pool,
                                               std::uint32_t tier,
                                               Duration timeLeft,
                                               std::uint64_t spread);

} // namespace GeraniumLever
