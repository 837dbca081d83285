#include "servers/relay/engine_partitioner.h"

#include <algorithm>
#include <cmath>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** A route is loose if its target for pauses is so many times the shortest of its pool. */
constexpr int LooseFactor = 2;
/** Demand forgets half of itself in this time: long enough to even out single requests. */
constexpr double HalfLifeSeconds = 3.0;
/** Engines by which the demand must differ from the last division before it changes, and the same as a share of all. */
constexpr double Hysteresis = 0.7;
constexpr double HysteresisShare = 0.03;
/** Making a token of an answer takes an engine's time like reading so many of a prompt; its context adds to that. */
constexpr double ReadTokensPerOutputToken = 15.0;
constexpr double ReadTokensPerOutputAndContextToken = 0.0025;
/** Engines for requests that bear no long pauses, relative to their part of the work: they are to find a seat at once.
 */
constexpr double TightMargin = 1.6;
/** Work below which a target counts as unused. */
constexpr double LeastWork = 100.0;
/** Work that is assumed of each kind before there is any, in prompt tokens. */
constexpr double AssumedWork = 5000.0;

} // namespace

double EngineSharing::Demand::at(TimePoint now) const
{
    const double age = std::chrono::duration<double>(now - updatedAt).count();
    return work * std::exp2(-age / HalfLifeSeconds);
}

void EngineSharing::noteSent(Duration pauseTarget, const PromptInfo &prompt, std::uint32_t unreadTokens, TimePoint now)
{
    Demand &demand = own_[pauseTarget];
    const double perOutput =
        ReadTokensPerOutputToken + static_cast<double>(prompt.promptTokens) * ReadTokensPerOutputAndContextToken;
    const double work = static_cast<double>(unreadTokens) + static_cast<double>(prompt.outputTokens) * perOutput;
    demand = { demand.at(now) + work, now };
}

void EngineSharing::learnOthers(const std::vector<PauseDemand> &others, TimePoint now)
{
    others_.clear();
    for (const PauseDemand &demand : others) {
        others_[std::chrono::milliseconds(demand.pauseMilliseconds)] = { static_cast<double>(demand.work), now };
    }
}

void EngineSharing::addDemands(std::vector<PauseDemand> &demands, TimePoint now) const
{
    for (const auto &[pause, demand] : own_) {
        const double work = demand.at(now);
        if (work >= LeastWork) {
            demands.push_back({ static_cast<std::uint32_t>(toMilliseconds(pause)), static_cast<std::uint64_t>(work) });
        }
    }
}

std::map<Duration, double> EngineSharing::demandsAt(TimePoint now)
{
    const auto isUnused = [now](const auto &entry) { return entry.second.at(now) < LeastWork; };
    std::erase_if(own_, isUnused);
    std::erase_if(others_, isUnused);
    std::map<Duration, double> demands;
    for (const std::map<Duration, Demand> *known : { &own_, &others_ }) {
        for (const auto &[pause, demand] : *known) {
            demands.try_emplace(pause, AssumedWork).first->second += demand.at(now);
        }
    }
    return demands;
}

bool EngineSharing::bearsLongPauses(Duration pauseTarget, TimePoint now)
{
    const std::map<Duration, double> demands = demandsAt(now);
    return !demands.empty() && pauseTarget >= demands.begin()->first * LooseFactor;
}

EnginePart EngineSharing::enginesFor(const PoolName &pool,
                                     Duration pauseTarget,
                                     std::vector<UpstreamName> engines,
                                     TimePoint now)
{
    std::map<Duration, double> demands = demandsAt(now);
    demands.try_emplace(pauseTarget, AssumedWork);
    if (engines.size() < 2) {
        return { std::move(engines), true };
    }
    const Duration looseFrom = demands.begin()->first * LooseFactor;
    double tight = 0.0;
    double loose = 0.0;
    for (const auto &[pause, work] : demands) {
        (pause >= looseFrom ? loose : tight) += work;
    }
    if (loose == 0.0) {
        return { std::move(engines), true };
    }
    tight *= TightMargin;
    const std::uint64_t seed = XXH64(pool.text().data(), pool.text().size(), 0);
    std::sort(engines.begin(), engines.end(), [seed](const UpstreamName &left, const UpstreamName &right) {
        const std::uint64_t leftRank = XXH64(left.text().data(), left.text().size(), seed);
        const std::uint64_t rightRank = XXH64(right.text().data(), right.text().size(), seed);
        return leftRank < rightRank;
    });
    const double wanted = static_cast<double>(engines.size()) * loose / (loose + tight);
    const double hysteresis = std::max(Hysteresis, HysteresisShare * static_cast<double>(engines.size()));
    if (std::abs(wanted - static_cast<double>(looseEngines_)) > hysteresis) {
        looseEngines_ = static_cast<std::size_t>(std::lround(wanted));
    }
    const std::size_t count = std::clamp<std::size_t>(looseEngines_, 1, engines.size() - 1);
    const auto border = engines.begin() + static_cast<std::ptrdiff_t>(count);
    if (pauseTarget >= looseFrom) {
        return { std::vector<UpstreamName>(engines.begin(), border), false };
    }
    return { std::vector<UpstreamName>(border, engines.end()), true };
}

Duration pauseTargetOf(const Route &route)
{
    return std::max<Duration>(route.gapTarget.value_or(route.target), std::chrono::milliseconds(1));
}

} // namespace GeraniumLever
