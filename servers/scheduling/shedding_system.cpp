#include "servers/scheduling/shedding_system.h"

#include "servers/scheduling/preemption_system.h"
#include "servers/scheduling/slot_replies.h"
#include "servers/scheduling/wait_estimate.h"

namespace GeraniumLever {

namespace {

/** Most requests that wait in one shard. */
constexpr std::size_t MaxWaiting = 10000;

/** Expected waits of a class on time and late; nothing where too little has been measured. */
struct ClassWaits
{
    std::optional<WaitLine> onTime;
    std::optional<WaitLine> late;
    /** Served by the guarantee of the class alone, on time or not. */
    std::optional<WaitLine> guaranteed;
};

ClassWaits waitsOf(const ShardState &state, const ClassRank &rank, TimePoint now)
{
    const ClassRank late { rank.tier, ServiceGroup::Late, rank.name };
    return ClassWaits { expectedWait(state, rank, now),
                        expectedWait(state, late, now),
                        guaranteedWait(state, rank, now) };
}

bool fits(const std::optional<WaitLine> &wait, std::size_t ahead, TimePoint latest, TimePoint now)
{
    return !wait || wait->at(ahead) <= std::chrono::duration<double>(latest - now).count();
}

/** True if the last request of a team can get a seat before its deadline, on time or late. */
bool isReachable(
    const ShardState &state, const ClassRank &rank, const ClassWaits &waits, const WaitingRequest &last, TimePoint now)
{
    const std::size_t ahead = state.queue.expectedAhead(rank, last.request.team);
    if (waits.guaranteed && fits(waits.guaranteed, ahead, last.deadline, now)) {
        return true;
    }
    if (rank.group == ServiceGroup::Late) {
        return fits(waits.late, ahead, last.deadline, now);
    }
    const ClassRank late { rank.tier, ServiceGroup::Late, rank.name };
    return fits(waits.onTime, ahead, last.lateFrom, now)
        || fits(waits.late, state.queue.sizeOf(late), last.deadline, now);
}

void shedOfTeam(ShardState &state,
                const ClassRank &rank,
                const ClassWaits &waits,
                const TeamName &team,
                TimePoint now,
                Commands &commands)
{
    while (const WaitingRequest *last = state.queue.lastOf(rank, team)) {
        if (isReachable(state, rank, waits, *last, now) || pauseOneFor(state, *last, now, commands)) {
            return;
        }
        refuse(state, last->request.request, ResultCode::Shed, now, commands);
    }
}

} // namespace

void shedUnreachableOf(
    ShardState &state, const ClassRank &rank, const TeamName &team, TimePoint now, Commands &commands)
{
    if (rank.group != ServiceGroup::Resumed) {
        shedOfTeam(state, rank, waitsOf(state, rank, now), team, now, commands);
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
        // To refuse resumed requests would waste the part of the answer that has been generated.
        if (rank.group == ServiceGroup::Resumed) {
            continue;
        }
        const ClassWaits waits = waitsOf(state, rank, now);
        for (const TeamName &team : state.queue.teamsOf(rank)) {
            shedOfTeam(state, rank, waits, team, now, commands);
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
