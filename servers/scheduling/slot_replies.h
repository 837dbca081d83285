/** Grants and refusals: each changes the shard's state, sends the reply to the ingress and records the decision. */
#pragma once

#include <string_view>

#include "servers/scheduling/shard_state.h"
#include "servers/scheduling/upstream_choice.h"

namespace GeraniumLever {

/** Reasons for grants, as written in decision records. */
constexpr std::string_view TierOrderReason = "tier_order";
constexpr std::string_view GuaranteeReason = "guarantee";
constexpr std::string_view ProbeReason = "probe";

/** Removes a waiting request from the queue, charges its team and gives it a seat at the chosen upstream. */
void grantSeat(ShardState &state,
               RequestId request,
               const UpstreamChoice &choice,
               std::string_view reason,
               TimePoint now,
               Commands &commands);

/** Removes a waiting request from the queue and refuses it. */
void refuseWaiting(ShardState &state, RequestId request, ResultCode code, TimePoint now, Commands &commands);

/** Refuses a request on arrival, and removes an earlier copy of it from the queue if there is one. */
void refuseNew(ShardState &state,
               const NodeName &from,
               const SlotRequest &request,
               ResultCode code,
               TimePoint now,
               Commands &commands);

} // namespace GeraniumLever
