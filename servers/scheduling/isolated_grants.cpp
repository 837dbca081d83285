#include "servers/scheduling/isolated_grants.h"

#include <algorithm>

#include "servers/scheduling/seats.h"
#include "servers/scheduling/slot_replies.h"

namespace GeraniumLever {

namespace {

/** Maximum number of requests per class that one call considers. */
constexpr std::size_t MaxCandidates = 32;

constexpr std::string_view IsolatedReason = "alone";

std::uint32_t highestTier(const Catalog &catalog)
{
    std::uint32_t highest = UINT32_MAX;
    for (const auto &[name, requestClass] : catalog.classes()) {
        highest = std::min(highest, requestClass.tier);
    }
    return highest;
}

/** The upstream with the fewest attempts granted by this scheduler, among those that may get a new one; the load that
 * other schedulers cause is ignored. */
std::optional<UpstreamChoice> leastLoadedUpstream(const ShardState &state, const SlotRequest &request, TimePoint now)
{
    const UpstreamState *best = nullptr;
    for (const auto &[name, upstream] : state.upstreams) {
        const bool usable = upstream.isAvailable() && !upstream.ejected && now >= upstream.backoffUntil
            && now >= upstream.reportAwaitedUntil && upstream.inFlight < upstream.seats && !excludes(request, name);
        if (usable && (best == nullptr || upstream.inFlight < best->inFlight)) {
            best = &upstream;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<UpstreamChoice>(evaluateUpstream(state, request, *best));
}

} // namespace

void grantHighestTierBeyondShare(ShardState &state, TimePoint now, Commands &commands)
{
    if (state.seatShare >= 1.0 || state.queue.empty()) {
        return;
    }
    const std::uint32_t tier = highestTier(*state.catalog);
    for (const ClassRank &rank : state.queue.ranks()) {
        if (rank.tier != tier) {
            continue;
        }
        for (const RequestId &candidate : state.queue.candidates(rank, MaxCandidates)) {
            const std::optional<UpstreamChoice> choice =
                leastLoadedUpstream(state, state.queue.find(candidate)->request, now);
            if (choice) {
                grantSeat(state, candidate, *choice, IsolatedReason, now, commands);
            }
        }
    }
}

} // namespace GeraniumLever
