#include "servers/scheduling/shedding_system.h"

#include "servers/scheduling/answers.h"
#include "servers/scheduling/wait_estimate.h"

namespace GeraniumLever {

namespace {

/** Most requests that wait in one shard. */
constexpr std::size_t MaxWaiting = 10000;

bool fits(const std::optional<double> &wait, TimePoint latest, TimePoint now)
{
    return !wait || *wait <= std::chrono::duration<double>(latest - now).count();
}

/** True if the last request of a team can get a seat before its deadline, on time or late. */
bool isReachable(const ShardState &state, const ClassRank &rank, const WaitingRequest &last, TimePoint now)
{
    const std::size_t ahead = state.queue.expectedAhead(rank, last.request.team);
    const bool late = rank.group == ServiceGroup::Late;
    if (fits(expectedWait(state, rank, ahead, now), late ? last.deadline : last.lateFrom, now)) {
        return true;
    }
    if (late) {
        return false;
    }
    const ClassRank lateRank { rank.tier, ServiceGroup::Late, rank.name };
    return fits(expectedWait(state, lateRank, state.queue.sizeOf(lateRank), now), last.deadline, now);
}

} // namespace

void shedUnreachableOf(
    ShardState &state, const ClassRank &rank, const TeamName &team, TimePoint now, Commands &commands)
{
    if (rank.group == ServiceGroup::Resumed) {
        // To refuse these would waste the part of the answer that has been generated.
        return;
    }
    while (const WaitingRequest *last = state.queue.lastOf(rank, team)) {
        if (isReachable(state, rank, *last, now)) {
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
