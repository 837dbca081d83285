#include "servers/scheduling/wait_estimate.h"

#include <algorithm>
#include <tuple>

#include "servers/scheduling/seats.h"

namespace GeraniumLever {

namespace {

/** Upper limit of the fraction of seats that is assumed to go to future arrivals. */
constexpr double MaxArrivalShare = 0.98;

/** Retry-After if no drain rate has been measured. */
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr Duration MaxRetryAfter = std::chrono::seconds(60);

/** Relative jitter of Retry-After, so that refused callers do not all retry at the same time. */
constexpr double RetryAfterJitter = 0.25;

/** A target divided by this is kept as a margin for delays that the estimates leave out. */
constexpr Duration::rep TargetMarginDivisor = 10;

/** Grant rates per second below this are treated as not measured. */
constexpr double MinGrantRate = 0.01;

/** Total expected seat time, in seconds, of the requests of other class ranks that are served before or along with this
 * one. */
double seatSecondsAhead(const ShardState &state, const ClassRank &rank)
{
    double work = 0.0;
    for (const ClassRank &other : state.queue.ranks()) {
        const bool before = std::tie(other.tier, other.group) <= std::tie(rank.tier, rank.group) && other != rank;
        const double seconds = state.classes.seatSeconds(other.name).value_or(0.0);
        work += before ? static_cast<double>(state.queue.sizeOf(other)) * seconds : 0.0;
    }
    return work;
}

/** Number of the class's waiting requests in service groups that come before that of the rank. */
double requestsOfEarlierGroups(const ShardState &state, const ClassRank &rank)
{
    double requests = 0.0;
    for (const ServiceGroup group : { ServiceGroup::Resumed, ServiceGroup::OnTime }) {
        const bool earlier = group < rank.group;
        requests += earlier ? static_cast<double>(state.queue.sizeOf({ rank.tier, group, rank.name })) : 0.0;
    }
    return requests;
}

/** Average number of seats that future arrivals will take ahead of the rank's requests: arrivals of higher tiers and,
 * for late requests, also those of the same tier. */
double seatsForArrivals(const ShardState &state, const ClassRank &rank, TimePoint now)
{
    double arrivalSeats = 0.0;
    for (const auto &[name, requestClass] : state.catalog->classes()) {
        const bool before =
            requestClass.tier < rank.tier || (requestClass.tier == rank.tier && rank.group == ServiceGroup::Late);
        const double seconds = state.classes.seatSeconds(name).value_or(0.0);
        arrivalSeats += before ? state.classes.arrivalRate(name, now) * seconds : 0.0;
    }
    return arrivalSeats;
}

} // namespace

std::optional<LinearWaitEstimate> expectedWait(const ShardState &state, const ClassRank &rank, TimePoint now)
{
    const std::optional<double> own = state.classes.seatSeconds(rank.name);
    const double seats = seatsOfShard(state);
    if (!own || seats == 0.0) {
        return std::nullopt;
    }
    const double arrivalShare = std::min(seatsForArrivals(state, rank, now) / seats, MaxArrivalShare);
    const double available = seats * (1.0 - arrivalShare);
    return LinearWaitEstimate { seatSecondsAhead(state, rank) / available, *own / available };
}

std::optional<LinearWaitEstimate> guaranteedWait(const ShardState &state, const ClassRank &rank, TimePoint now)
{
    const RequestClass *requestClass = state.classOf(rank.name);
    const double seatSeconds = state.classes.seatSeconds(rank.name).value_or(0.0);
    if (requestClass == nullptr || requestClass->guaranteedPerMille == 0 || seatSeconds == 0.0) {
        return std::nullopt;
    }
    double grantRate = 0.0;
    for (const auto &[name, other] : state.catalog->classes()) {
        grantRate += state.classes.grantRate(name, now);
    }
    if (grantRate < MinGrantRate) {
        return std::nullopt;
    }
    const double byGrants = 1000.0 / (requestClass->guaranteedPerMille * grantRate);
    const double bySeats = seatSeconds / guaranteedSeats(state, *requestClass);
    const double interval = std::max(byGrants, bySeats);
    return LinearWaitEstimate { requestsOfEarlierGroups(state, rank) * interval + interval, interval };
}

Duration maxOnTimeWait(const ShardState &state, const SlotRequest &request, const RequestClass &requestClass)
{
    const double rate = state.speeds.prefillRate(UpstreamName()).value_or(0.0);
    const double prefillSeconds = rate > 0.0 ? request.promptTokens / rate : 0.0;
    const Duration prefill = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(prefillSeconds));
    return std::max(Duration(0),
                    requestClass.firstTokenTarget - prefill - requestClass.firstTokenTarget / TargetMarginDivisor);
}

double releaseRate(const ShardState &state)
{
    double rate = 0.0;
    for (const auto &[requestClass, count] : state.running.countsByClass()) {
        const double seconds = state.classes.seatSeconds(requestClass).value_or(0.0);
        rate += seconds > 0.0 ? count / seconds : 0.0;
    }
    return rate;
}

Duration retryAfter(ShardState &state, const ClassName &requestClass, TimePoint now)
{
    const double rate = state.classes.grantRate(requestClass, now);
    Duration wait = DefaultRetryAfter;
    if (rate >= MinGrantRate) {
        const RequestClass *row = state.classOf(requestClass);
        const std::uint32_t tier = row == nullptr ? 0 : row->tier;
        const double waiting = static_cast<double>(state.queue.sizeOfClass(tier, requestClass)) + 1.0;
        wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(waiting / rate));
    }
    return state.issuer.random().jittered(std::clamp(wait, MinRetryAfter, MaxRetryAfter), RetryAfterJitter);
}

} // namespace GeraniumLever
