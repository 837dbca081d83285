/** Refuses what cannot be served in time, the moment that this is known. */
#pragma once

#include "servers/scheduling/shard_state.h"

namespace GeraniumLever {

/** Refuses the requests of the class's team that cannot get a seat before their deadline, the last in order first. */
void shedUnreachableOfTeam(
    ShardState &state, const ClassRank &rank, const TeamName &team, TimePoint now, Commands &commands);

/** Refuses the requests whose deadline has passed. */
void refuseExpired(ShardState &state, TimePoint now, Commands &commands);

/** Refuses all requests that cannot get a seat before their deadline. */
void shedUnreachable(ShardState &state, TimePoint now, Commands &commands);

/** Makes room in a full queue for a request of the tier, by refusing the newest of a lower tier; false if there is
 *  none. */
bool makeRoom(ShardState &state, std::uint32_t tier, TimePoint now, Commands &commands);

} // namespace GeraniumLever
