#include "servers/scheduling/wait_estimate.h"

#include <algorithm>

#include "servers/scheduling/seats.h"

namespace GeraniumLever {

namespace {

/** Largest share of the seats that higher tiers' future arrivals are taken to claim. */
constexpr double MaxClaimedShare = 0.98;

/** Retry-After where no drain rate has been measured. */
constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);

constexpr Duration MinRetryAfter = std::chrono::seconds(1);
constexpr Duration MaxRetryAfter = std::chrono::seconds(60);

/** Spread of Retry-After, so that refused callers do not return together. */
constexpr double RetryAfterJitter = 0.25;

/** Grant rates below this are no measurement. */
constexpr double MinGrantRate = 0.01;

} // namespace

std::optional<double> expectedWait(const ShardState &state, const ClassRank &rank, std::size_t ahead, TimePoint now)
{
    const std::optional<double> own = state.classes.seatSeconds(rank.name);
    const double seats = seatsOfShard(state);
    if (!own || seats == 0.0) {
        return std::nullopt;
    }
    double work = static_cast<double>(ahead) * *own;
    double claimed = 0.0;
    for (const auto &[name, requestClass] : state.catalog->classes()) {
        if (requestClass.tier >= rank.tier) {
            continue;
        }
        const double seconds = state.classes.seatSeconds(name).value_or(0.0);
        work += static_cast<double>(state.queue.sizeOf({ requestClass.tier, name })) * seconds;
        claimed += state.classes.arrivalRate(name, now) * seconds / seats;
    }
    return work / (seats * (1.0 - std::min(claimed, MaxClaimedShare)));
}

double releaseRate(const ShardState &state)
{
    double rate = 0.0;
    for (const auto &[id, attempt] : state.running.attempts()) {
        const std::optional<double> seconds = state.classes.seatSeconds(attempt.requestClass);
        rate += seconds && *seconds > 0.0 ? 1.0 / *seconds : 0.0;
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
        const double waiting = static_cast<double>(state.queue.sizeOf({ tier, requestClass })) + 1.0;
        wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(waiting / rate));
    }
    return state.issuer.random().jittered(std::clamp(wait, MinRetryAfter, MaxRetryAfter), RetryAfterJitter);
}

} // namespace GeraniumLever
