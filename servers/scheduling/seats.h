/** Rules for how many attempts an upstream may run and whether it may get another one now. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Seats of an upstream that this node may use, at least one: fewer than the catalog's number if the node's seat share
 * is below 1 or if the upstream is slow. */
std::uint32_t usableSeats(const ShardState &state, const UpstreamState &upstream);

/** Usable seats that are not in use, whether or not the upstream may get new attempts. */
std::uint32_t freeSeats(const ShardState &state, const UpstreamState &upstream, TimePoint now);

/** True if the upstream may get a new attempt now. */
bool hasFreeSeat(const ShardState &state, const UpstreamState &upstream, TimePoint now);

/** Free seats of all upstreams that may get a new attempt now. */
std::uint32_t freeSeatsOfShard(const ShardState &state, TimePoint now);

/** Usable seats of all upstreams that are available and not ejected. */
std::uint32_t seatsOfShard(const ShardState &state);

/** Number of seats that a class may hold by its guarantee, at least one. */
std::uint32_t guaranteedSeats(const ShardState &state, const RequestClass &requestClass);

/** True if the request excludes the upstream. */
bool excludes(const SlotRequest &request, const UpstreamName &upstream);

/** True if there is an available upstream that the request does not exclude, whether or not it has a free seat. */
bool hasAvailableUpstream(const ShardState &state, const SlotRequest &request);

} // namespace GeraniumLever
