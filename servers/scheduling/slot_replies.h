/** Grants and refusals: the changes of state and the messages that belong together. */
#pragma once

#include <string_view>

#include "servers/scheduling/shard_state.h"
#include "servers/scheduling/upstream_choice.h"

namespace GeraniumLever {

/** Reasons of grants, as the decision records name them. */
constexpr std::string_view TierOrderReason = "tier_order";
constexpr std::string_view GuaranteeReason = "guarantee";
constexpr std::string_view ProbeReason = "probe";

/** Takes a waiting request out of the queue and gives it a seat. */
void grant(ShardState &state,
           RequestId request,
           const UpstreamChoice &choice,
           std::string_view reason,
           TimePoint now,
           Commands &commands);

/** Takes a waiting request out of the queue and refuses it. */
void refuse(ShardState &state, RequestId request, ResultCode code, TimePoint now, Commands &commands);

/** Refuses a request that is not in the queue. */
void refuseNew(ShardState &state,
               const NodeName &from,
               const SlotRequest &request,
               ResultCode code,
               TimePoint now,
               Commands &commands);

} // namespace GeraniumLever
