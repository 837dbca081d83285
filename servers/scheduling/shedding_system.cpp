#include "servers/scheduling/shedding_system.h"

#include "servers/scheduling/answers.h"
#include "servers/scheduling/wait_estimate.h"

namespace GeraniumLever {

namespace {

/** Most requests that wait in one shard. */
constexpr std::size_t MaxWaiting = 10000;

} // namespace

void shedUnreachableOf(
    ShardState &state, const ClassRank &rank, const TeamName &team, TimePoint now, Commands &commands)
{
    while (const WaitingRequest *last = state.queue.lastOf(rank, team)) {
        const std::size_t ahead = state.queue.expectedAhead(rank, team);
        const std::optional<double> wait = expectedWait(state, rank, ahead, now);
        if (!wait || *wait <= std::chrono::duration<double>(last->deadline - now).count()) {
            return;
        }
        refuse(state, last->request.request, ResultCode::Shed, now, commands);
    }
}

void refuseExpired(ShardState &state, TimePoint now, Commands &commands)
{
    for (const RequestId &request : state.queue.expired(now)) {
        refuse(state, request, ResultCode::DeadlineUnreachable, now, commands);
    }
}

void shedUnreachable(ShardState &state, TimePoint now, Commands &commands)
{
    for (const ClassRank &rank : state.queue.ranks()) {
        for (const TeamName &team : state.queue.teamsOf(rank)) {
            shedUnreachableOf(state, rank, team, now, commands);
        }
    }
}

bool makeRoom(ShardState &state, std::uint32_t tier, TimePoint now, Commands &commands)
{
    if (state.queue.size() < MaxWaiting) {
        return true;
    }
    const WaitingRequest *newest = state.queue.newestOfLowest();
    if (newest->tier <= tier) {
        return false;
    }
    refuse(state, newest->request.request, ResultCode::QueueFull, now, commands);
    return true;
}

} // namespace GeraniumLever
