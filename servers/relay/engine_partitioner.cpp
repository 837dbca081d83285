#include "servers/relay/engine_partitioner.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** Requests are gap-tolerant if their target is at least this many times the shortest one. */
constexpr int TolerantFactor = 2;
/** Half-life of the recorded demand; long enough to average out single requests. */
constexpr double HalfLifeSeconds = 3.0;
/** Number of engines by which the ideal partition must differ from the current one before it changes, and the same as a
 *  share of all engines. */
constexpr double Hysteresis = 0.7;
constexpr double HysteresisShare = 0.03;
/** Generating one output token costs an engine as much time as prefilling this many prompt tokens, plus a part
 *  proportional to the context length. */
constexpr double PrefillTokensPerOutputToken = 15.0;
constexpr double PrefillTokensPerOutputAndContextToken = 0.0025;
/** Factor on the work of gap-sensitive requests: they get more engines than their share so that they find a free seat
 *  immediately. */
constexpr double SensitiveMargin = 1.6;
/** Work below which a target counts as unused. */
constexpr double MinWork = 100.0;
/** Work assumed for each kind of request before any was sent, in prompt tokens. */
constexpr double InitialWork = 5000.0;

} // namespace

double EnginePartitioner::Demand::at(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - updatedAt).count();
    return work * std::exp2(-age / HalfLifeSeconds);
}

void EnginePartitioner::noteSent(Duration tokenGapTarget,
                                 const PromptInfo &prompt,
                                 std::uint32_t unreadTokens,
                                 TimePoint now)
{
    Demand &demand = own_[tokenGapTarget];
    const double perOutput =
        PrefillTokensPerOutputToken + static_cast<double>(prompt.promptTokens) * PrefillTokensPerOutputAndContextToken;
    const double work = static_cast<double>(unreadTokens) + static_cast<double>(prompt.outputTokens) * perOutput;
    demand = { demand.at(now) + work, now };
}

void EnginePartitioner::updateOthers(const std::vector<PauseDemand> &others, TimePoint now)
{
    others_.clear();
    for (const PauseDemand &demand : others) {
        others_[std::chrono::milliseconds(demand.pauseMilliseconds)] = { static_cast<double>(demand.work), now };
    }
}

void EnginePartitioner::addDemands(std::vector<PauseDemand> &demands, TimePoint now) const
{
    for (const auto &[tokenGap, demand] : own_) {
        const double work = demand.at(now);
        if (work >= MinWork) {
            demands.push_back(
                { static_cast<std::uint32_t>(toMilliseconds(tokenGap)), static_cast<std::uint64_t>(work) });
        }
    }
}

std::map<Duration, double> EnginePartitioner::demandsAt(TimePoint now)
{
    const auto isNegligible = [now](const auto &entry) { return entry.second.at(now) < MinWork; };
    std::erase_if(own_, isNegligible);
    std::erase_if(others_, isNegligible);
    std::map<Duration, double> demands;
    for (const std::map<Duration, Demand> *source : { &own_, &others_ }) {
        for (const auto &[tokenGap, demand] : *source) {
            demands.try_emplace(tokenGap, InitialWork).first->second += demand.at(now);
        }
    }
    return demands;
}

bool EnginePartitioner::hasOwnPartition(Duration tokenGapTarget, TimePoint now)
{
    const std::map<Duration, double> demands = demandsAt(now);
    return !demands.empty() && tokenGapTarget >= demands.begin()->first * TolerantFactor;
}

EnginePartition EnginePartitioner::enginesFor(const PoolName &pool,
                                              Duration tokenGapTarget,
                                              std::vector<UpstreamName> engines,
                                              TimePoint now)
{
    std::map<Duration, double> demands = demandsAt(now);
    demands.try_emplace(tokenGapTarget, InitialWork);
    if (engines.size() < 2) {
        return { std::move(engines), true };
    }
    const Duration tolerantFrom = demands.begin()->first * TolerantFactor;
    double sensitive = 0.0;
    double tolerant = 0.0;
    for (const auto &[tokenGap, work] : demands) {
        (tokenGap >= tolerantFrom ? tolerant : sensitive) += work;
    }
    if (tolerant == 0.0) {
        return { std::move(engines), true };
    }
    sensitive *= SensitiveMargin;
    const std::uint64_t seed = XXH64(pool.text().data(), pool.text().size(), 0);
    std::sort(engines.begin(), engines.end(), [seed](const UpstreamName &left, const UpstreamName &right) {
        const std::uint64_t leftRank = XXH64(left.text().data(), left.text().size(), seed);
        const std::uint64_t rightRank = XXH64(right.text().data(), right.text().size(), seed);
        return leftRank < rightRank;
    });
    const double wanted = static_cast<double>(engines.size()) * tolerant / (tolerant + sensitive);
    const double hysteresis = std::max(Hysteresis, HysteresisShare * static_cast<double>(engines.size()));
    if (std::abs(wanted - static_cast<double>(tolerantEngines_)) > hysteresis) {
        tolerantEngines_ = static_cast<std::size_t>(std::lround(wanted));
    }
    const std::size_t count = std::clamp<std::size_t>(tolerantEngines_, 1, engines.size() - 1);
    const auto border = engines.begin() + static_cast<std::ptrdiff_t>(count);
    if (tokenGapTarget >= tolerantFrom) {
        return { std::vector<UpstreamName>(engines.begin(), border), false };
    }
    return { std::vector<UpstreamName>(border, engines.end()), true };
}

Duration tokenGapTargetOf(const Route &route)
{
    return std::max<Duration>(route.gapTarget.value_or(route.target), std::chrono::milliseconds(1));
}

} // namespace GeraniumLever
