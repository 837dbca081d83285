#include "servers/scheduling/seats.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** Slowness up to which an upstream keeps all of its seats. */
constexpr double ToleratedSlowness = 1.5;

/** Load reports older than this are not used to count an upstream's requests. */
constexpr Duration ReportLifetime = std::chrono::seconds(15);

/** Requests at the upstream that this scheduler has no record of. The report lags, so only requests in excess of the
 * recent peak of the scheduler's own count are certain to be such. */
std::uint32_t unaccountedRequests(const UpstreamState &upstream, TimePoint now)
{
    if (now - upstream.reportedAt > ReportLifetime) {
        return 0;
    }
    const std::uint32_t own = std::max(upstream.inFlight, upstream.inFlightPeak.peak(now));
    return upstream.reported > own ? upstream.reported - own : 0;
}

} // namespace

std::uint32_t usableSeats(const ShardState &state, const UpstreamState &upstream)
{
    const double speed = std::min(1.0, ToleratedSlowness / upstream.slowness);
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(state.seatShare * speed * upstream.seats));
}

std::uint32_t freeSeats(const ShardState &state, const UpstreamState &upstream, TimePoint now)
{
    const std::uint32_t seats = usableSeats(state, upstream);
    const std::uint32_t taken = upstream.inFlight + unaccountedRequests(upstream, now);
    return taken >= seats ? 0 : seats - taken;
}

bool hasFreeSeat(const ShardState &state, const UpstreamState &upstream, TimePoint now)
{
    if (!upstream.isAvailable() || upstream.ejected || now < upstream.backoffUntil
        || now < upstream.reportAwaitedUntil) {
        return false;
    }
    // After failures, only one attempt at a time is allowed until one shows that the upstream works again.
    if (upstream.failures > 0 && upstream.backoffUntil != TimePoint {} && upstream.inFlight > 0) {
        return false;
    }
    return freeSeats(state, upstream, now) > 0;
}

std::uint32_t freeSeatsOfShard(const ShardState &state, TimePoint now)
{
    std::uint32_t seats = 0;
    for (const auto &[name, upstream] : state.upstreams) {
        seats += hasFreeSeat(state, upstream, now) ? freeSeats(state, upstream, now) : 0;
    }
    return seats;
}

std::uint32_t seatsOfShard(const ShardState &state)
{
    std::uint32_t seats = 0;
    for (const auto &[name, upstream] : state.upstreams) {
        seats += upstream.isAvailable() && !upstream.ejected ? usableSeats(state, upstream) : 0;
    }
    return seats;
}

std::uint32_t guaranteedSeats(const ShardState &state, const RequestClass &requestClass)
{
    return std::max<std::uint32_t>(1, seatsOfShard(state) * requestClass.guaranteedPerMille / 1000);
}

bool excludes(const SlotRequest &request, const UpstreamName &upstream)
{
    return std::find(request.excluded.begin(), request.excluded.end(), upstream) != request.excluded.end();
}

bool hasAvailableUpstream(const ShardState &state, const SlotRequest &request)
{
    for (const auto &[name, upstream] : state.upstreams) {
        if (upstream.isAvailable() && !excludes(request, name)) {
            return true;
        }
    }
    return false;
}

} // namespace GeraniumLever
