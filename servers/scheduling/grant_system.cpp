#include "servers/scheduling/grant_system.h"

#include <algorithm>
#include <tuple>

#include "servers/scheduling/headroom.h"
#include "servers/scheduling/seats.h"
#include "servers/scheduling/slot_replies.h"

namespace GeraniumLever {

namespace {

/** Requests of a class that are tried when the first one's upstreams are all taken. */
constexpr std::size_t MaxCandidates = 8;

/** Resumed requests that are compared. */
constexpr std::size_t MaxResumedCandidates = 32;

/** A resumed request that has waited for this long is served before those that are cheaper to resume. */
constexpr Duration ResumePatience = std::chrono::seconds(10);

struct Placement
{
    RequestId request;
    UpstreamChoice choice;
    std::string_view reason;
};

/** The first request of the class that an upstream can take. */
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

/** The resumed request that has the least to compute again at a free upstream, unless one has waited for too long. */
std::optional<Placement> placeResumed(const ShardState &state, const ClassRank &rank, TimePoint now)
{
    if (now - state.queue.oldestOf(rank)->arrived > ResumePatience) {
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

/** Attempts of the class that run on guaranteed seats. */
std::uint32_t guaranteedRunning(const ShardState &state, const ClassName &requestClass)
{
    std::uint32_t count = 0;
    for (const auto &[id, attempt] : state.running.attempts()) {
        count += attempt.guaranteed && attempt.requestClass == requestClass ? 1 : 0;
    }
    return count;
}

/** The guarantee is a share of the grants, and also of the seats, since long answers hold theirs long. */
bool mayUseGuarantee(const ShardState &state, const RequestClass &requestClass)
{
    if (!state.guarantees.due(requestClass.name)) {
        return false;
    }
    return guaranteedRunning(state, requestClass.name) < guaranteedSeats(state, requestClass);
}

/** Seats that were freed by pausing belong to the tier for which the pause was made. */
std::optional<Placement> placeGuaranteed(const ShardState &state, const std::vector<ClassRank> &ranks, TimePoint now)
{
    if (freeSeatsOfShard(state, now) <= state.pausedSeats) {
        return std::nullopt;
    }
    for (const ClassRank &rank : ranks) {
        const RequestClass *requestClass = state.classOf(rank.name);
        if (requestClass == nullptr || !mayUseGuarantee(state, *requestClass)) {
            continue;
        }
        if (std::optional<Placement> placement = placeFirst(state, rank, GuaranteeReason, now); placement) {
            return placement;
        }
    }
    return std::nullopt;
}

/** When the class's oldest request misses its target for the first token. */
TimePoint targetTimeOf(const ShardState &state, const ClassRank &rank)
{
    const RequestClass *requestClass = state.classOf(rank.name);
    const Duration target = requestClass == nullptr ? Duration(0) : requestClass->firstTokenTarget;
    return state.queue.oldestOf(rank)->arrived + target;
}

/** Classes in the order of service: by tier and group, within these the one whose target is next. */
std::vector<ClassRank> orderOfService(const ShardState &state)
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
            // What a tier leaves to those above it is not for those below it.
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

void grantSeats(ShardState &state, TimePoint now, Commands &commands)
{
    while (!state.queue.empty()) {
        const std::uint32_t free = freeSeatsOfShard(state, now);
        state.pausedSeats = std::min(state.pausedSeats, free);
        if (free == 0) {
            return;
        }
        const std::vector<ClassRank> ranks = orderOfService(state);
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
        grant(state, placement->request, placement->choice, placement->reason, now, commands);
    }
    state.pausedSeats = 0;
}

} // namespace GeraniumLever
