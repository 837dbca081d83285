#include "servers/scheduling/isolated_grants.h"

#include <algorithm>

#include "servers/scheduling/seats.h"
#include "servers/scheduling/slot_replies.h"

namespace GeraniumLever {

namespace {

/** Requests that are looked at in one call. */
constexpr std::size_t MaxCandidates = 32;

constexpr std::string_view AloneReason = "alone";

std::uint32_t highestTier(const Catalog &catalog)
{
    std::uint32_t highest = UINT32_MAX;
    for (const auto &[name, requestClass] : catalog.classes()) {
        highest = std::min(highest, requestClass.tier);
    }
    return highest;
}

/** The open upstream on which this scheduler itself has the fewest attempts. */
std::optional<UpstreamChoice> leastOccupied(const ShardState &state, const SlotRequest &request, TimePoint now)
{
    const UpstreamState *best = nullptr;
    for (const auto &[name, upstream] : state.upstreams) {
        const bool usable = upstream.open() && !upstream.ejected && now >= upstream.closedUntil
            && now >= upstream.awaitedUntil && upstream.inFlight < upstream.seats && !excludes(request, name);
        if (usable && (best == nullptr || upstream.inFlight < best->inFlight)) {
            best = &upstream;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<UpstreamChoice>(expectedAt(state, request, *best));
}

} // namespace

void grantAlone(ShardState &state, TimePoint now, Commands &commands)
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
                leastOccupied(state, state.queue.find(candidate)->request, now);
            if (choice) {
                grant(state, candidate, *choice, AloneReason, now, commands);
            }
        }
    }
}

} // namespace GeraniumLever
