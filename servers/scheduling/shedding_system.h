/** Load shedding: refuses requests that cannot be served in time as soon as this is known. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Refuses the team's requests in the class that cannot get a seat before their deadline, starting with the last one in
 * the order of service. Pauses a lower-tier attempt instead where possible. Resumed requests are never refused. */
void shedUnreachableOfTeam(
    ShardState &state, const ClassRank &rank, const TeamName &team, TimePoint now, Commands &commands);

/** Refuses the requests whose deadline has passed. */
void refuseExpired(ShardState &state, TimePoint now, Commands &commands);

/** Does the same for all classes and teams. */
void shedUnreachable(ShardState &state, TimePoint now, Commands &commands);

/** Ensures that the queue has room for a request of the tier; if it is full, refuses the newest request of the lowest
 * tier. False if it is full and no waiting request is of a lower tier. */
bool makeRoom(ShardState &state, std::uint32_t tier, TimePoint now, Commands &commands);

} // namespace GeraniumLever
