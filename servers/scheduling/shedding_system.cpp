#include "servers/scheduling/shedding_system.h"

#include "servers/scheduling/preemption_system.h"
#include "servers/scheduling/slot_replies.h"
#include "servers/scheduling/wait_estimate.h"

namespace GeraniumLever {

namespace {

/** Maximum number of waiting requests per shard. */
constexpr std::size_t MaxQueueLength = 10000;

/** Expected waits of a class by service group; std::nullopt where too little has been measured. */
struct ClassWaits
{
    std::optional<LinearWaitEstimate> onTime;
    std::optional<LinearWaitEstimate> late;
    /** Wait if the class is served by its guarantee only, on time or late. */
    std::optional<LinearWaitEstimate> guaranteed;
};

ClassWaits waitsOf(const ShardState &state, const ClassRank &rank, TimePoint now)
{
    const ClassRank late { rank.tier, ServiceGroup::Late, rank.name };
    return ClassWaits { expectedWait(state, rank, now),
                        expectedWait(state, late, now),
                        guaranteedWait(state, rank, now) };
}

/** True if the expected wait ends by the latest start, or if there is no estimate. */
bool canStartBy(const std::optional<LinearWaitEstimate> &wait, std::size_t ahead, TimePoint latest, TimePoint now)
{
    return !wait || wait->at(ahead) <= std::chrono::duration<double>(latest - now).count();
}

/** True if the team's last request is expected to get a seat before its deadline, on time or late. */
bool canMeetDeadline(
    const ShardState &state, const ClassRank &rank, const ClassWaits &waits, const WaitingRequest &last, TimePoint now)
{
    const std::size_t ahead = state.queue.expectedAhead(rank, last.request.team);
    if (waits.guaranteed && canStartBy(waits.guaranteed, ahead, last.deadline, now)) {
        return true;
    }
    if (rank.group == ServiceGroup::Late) {
        return canStartBy(waits.late, ahead, last.deadline, now);
    }
    const ClassRank late { rank.tier, ServiceGroup::Late, rank.name };
    return canStartBy(waits.onTime, ahead, last.onTimeUntil, now)
        || canStartBy(waits.late, state.queue.sizeOf(late), last.deadline, now);
}

void shedTeamRequests(ShardState &state,
                      const ClassRank &rank,
                      const ClassWaits &waits,
                      const TeamName &team,
                      TimePoint now,
                      Commands &commands)
{
    while (const WaitingRequest *last = state.queue.lastOf(rank, team)) {
        if (canMeetDeadline(state, rank, waits, *last, now) || pauseAttemptFor(state, *last, now, commands)) {
            return;
        }
        refuseWaiting(state, last->request.request, ResultCode::Shed, now, commands);
    }
}

} // namespace

void shedUnreachableOfTeam(
    ShardState &state, const ClassRank &rank, const TeamName &team, TimePoint now, Commands &commands)
{
    if (rank.group != ServiceGroup::Resumed) {
        shedTeamRequests(state, rank, waitsOf(state, rank, now), team, now, commands);
    }
}

void refuseExpired(ShardState &state, TimePoint now, Commands &commands)
{
    for (const RequestId &request : state.queue.expired(now)) {
        refuseWaiting(state, request, ResultCode::DeadlineUnreachable, now, commands);
    }
}

void shedUnreachable(ShardState &state, TimePoint now, Commands &commands)
{
    for (const ClassRank &rank : state.queue.ranks()) {
        // Refusing resumed requests would waste the part of the answer that has already been generated.
        if (rank.group == ServiceGroup::Resumed) {
            continue;
        }
        const ClassWaits waits = waitsOf(state, rank, now);
        for (const TeamName &team : state.queue.teamsOf(rank)) {
            shedTeamRequests(state, rank, waits, team, now, commands);
        }
    }
}

bool makeRoom(ShardState &state, std::uint32_t tier, TimePoint now, Commands &commands)
{
    if (state.queue.size() < MaxQueueLength) {
        return true;
    }
    const WaitingRequest *newest = state.queue.newestOfLowestTier();
    if (newest->tier <= tier) {
        return false;
    }
    refuseWaiting(state, newest->request.request, ResultCode::QueueFull, now, commands);
    return true;
}

} // namespace GeraniumLever
