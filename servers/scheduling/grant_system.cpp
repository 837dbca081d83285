#include "servers/scheduling/grant_system.h"

#include <algorithm>
#include <tuple>

#include "servers/scheduling/headroom.h"
#include "servers/scheduling/seats.h"
#include "servers/scheduling/slot_replies.h"

namespace GeraniumLever {

namespace {

/** Maximum number of requests of a class that are tried in turn; the first one may exclude every upstream with a free
 * seat. */
constexpr std::size_t MaxCandidates = 8;

/** Maximum number of resumed requests that are compared by the cost of resuming them. */
constexpr std::size_t MaxResumedCandidates = 32;

/** Once the oldest resumed request has waited for longer than this, resumed requests are served in queue order, not
 * cheapest first. */
constexpr Duration MaxResumedWait = std::chrono::seconds(10);

struct Placement
{
    RequestId request;
    UpstreamChoice choice;
    std::string_view reason;
};

/** Finds the first request of the class that can get a seat now. */
std::optional<Placement> placeFirst(const ShardState &state,
                                    const ClassRank &rank,
                                    std::string_view reason,
                                    TimePoint now)
{
    for (const RequestId &candidate : state.queue.candidates(rank, MaxCandidates)) {
        const SlotRequest &request = state.queue.find(candidate)->request;
        if (const std::optional<UpstreamChoice> choice = chooseUpstream(state, request, now); choice) {
            return Placement { candidate, *choice, reason };
        }
    }
    return std::nullopt;
}

/** Finds the resumed request with the fewest tokens to recompute at an upstream with a free seat; uses queue order
 * instead if the oldest one has waited for too long. */
std::optional<Placement> placeResumed(const ShardState &state, const ClassRank &rank, TimePoint now)
{
    if (now - state.queue.oldestOf(rank)->arrivedAt > MaxResumedWait) {
        return placeFirst(state, rank, TierOrderReason, now);
    }
    std::optional<Placement> best;
    for (const RequestId &candidate : state.queue.candidates(rank, MaxResumedCandidates)) {
        const SlotRequest &request = state.queue.find(candidate)->request;
        const std::optional<UpstreamChoice> choice = chooseUpstream(state, request, now);
        if (choice && (!best || choice->uncachedTokens < best->choice.uncachedTokens)) {
            best = Placement { candidate, *choice, TierOrderReason };
        }
    }
    return best;
}

/** Number of running attempts of the class that were granted by its guarantee. */
std::uint32_t guaranteedRunning(const ShardState &state, const ClassName &requestClass)
{
    std::uint32_t count = 0;
    for (const auto &[id, attempt] : state.running.attempts()) {
        count += attempt.guaranteed && attempt.requestClass == requestClass ? 1 : 0;
    }
    return count;
}

/** A guarantee limits the class's share of the seats as well as of the grants; otherwise a class with long answers
 * would hold far more seats than its share. */
bool canUseGuarantee(const ShardState &state, const RequestClass &requestClass)
{
    if (!state.guarantees.isDue(requestClass.name)) {
        return false;
    }
    return guaranteedRunning(state, requestClass.name) < guaranteedSeats(state, requestClass);
}

/** Finds a request that its class's guarantee entitles to a seat. Seats that were freed by pausing are not used, since
 * they belong to the tier for which the attempt was paused. */
std::optional<Placement> placeGuaranteed(const ShardState &state, const std::vector<ClassRank> &ranks, TimePoint now)
{
    if (freeSeatsOfShard(state, now) <= state.pausedSeats) {
        return std::nullopt;
    }
    for (const ClassRank &rank : ranks) {
        const RequestClass *requestClass = state.classOf(rank.name);
        if (requestClass == nullptr || !canUseGuarantee(state, *requestClass)) {
            continue;
        }
        if (std::optional<Placement> placement = placeFirst(state, rank, GuaranteeReason, now); placement) {
            return placement;
        }
    }
    return std::nullopt;
}

/** The time at which the class's oldest request misses its first-token target. */
TimePoint targetTimeOf(const ShardState &state, const ClassRank &rank)
{
    const RequestClass *requestClass = state.classOf(rank.name);
    const Duration target = requestClass == nullptr ? Duration(0) : requestClass->firstTokenTarget;
    return state.queue.oldestOf(rank)->arrivedAt + target;
}

/** Class ranks in the order of service: by tier and group, then by the first-token target that is due soonest. */
std::vector<ClassRank> serviceOrder(const ShardState &state)
{
    std::vector<ClassRank> ranks = state.queue.ranks();
    std::stable_sort(ranks.begin(), ranks.end(), [&state](const ClassRank &first, const ClassRank &second) {
        if (std::tie(first.tier, first.group) != std::tie(second.tier, second.group)) {
            return std::tie(first.tier, first.group) < std::tie(second.tier, second.group);
        }
        return targetTimeOf(state, first) < targetTimeOf(state, second);
    });
    return ranks;
}

std::optional<Placement> placeByTier(const ShardState &state, const std::vector<ClassRank> &ranks, TimePoint now)
{
    const std::uint32_t free = freeSeatsOfShard(state, now);
    std::optional<std::uint32_t> blockedTier;
    for (const ClassRank &rank : ranks) {
        if (blockedTier && rank.tier > *blockedTier) {
            // Seats that a tier leaves free as headroom for higher tiers must not go to lower tiers either.
            return std::nullopt;
        }
        if (free <= headroomAbove(state, rank, now)) {
            blockedTier = rank.tier;
            continue;
        }
        std::optional<Placement> placement = rank.group == ServiceGroup::Resumed
            ? placeResumed(state, rank, now)
            : placeFirst(state, rank, TierOrderReason, now);
        if (placement) {
            return placement;
        }
    }
    return std::nullopt;
}

} // namespace

void grantFreeSeats(ShardState &state, TimePoint now, Commands &commands)
{
    while (!state.queue.empty()) {
        const std::uint32_t free = freeSeatsOfShard(state, now);
        state.pausedSeats = std::min(state.pausedSeats, free);
        if (free == 0) {
            return;
        }
        const std::vector<ClassRank> ranks = serviceOrder(state);
        std::optional<Placement> placement = placeGuaranteed(state, ranks, now);
        if (!placement) {
            placement = placeByTier(state, ranks, now);
        }
        if (!placement) {
            return;
        }
        if (placement->reason == TierOrderReason && state.pausedSeats > 0) {
            --state.pausedSeats;
        }
        grantSeat(state, placement->request, placement->choice, placement->reason, now, commands);
    }
    state.pausedSeats = 0;
}

} // namespace GeraniumLever
