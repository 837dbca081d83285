#include "servers/relay/limited_admission.h"

#include <cmath>
#include <numbers>
#include <utility>

namespace GeraniumLever {

namespace {

constexpr double HalfLifeSeconds = 5.0;
/** Number of recent events below which a team is forgotten. */
constexpr double MinEvents = 0.02;
/** Difference of served requests from which a team counts as served more than another. */
constexpr double MinLead = 0.5;

} // namespace

double LimitedAdmission::Count::at(TimePoint now) const
{
    return events * std::exp2(-std::chrono::duration<double>(now - updatedAt).count() / HalfLifeSeconds);
}

void LimitedAdmission::Count::add(TimePoint now)
{
    events = at(now) + 1.0;
    updatedAt = now;
}

void LimitedAdmission::noteRequest(std::uint32_t tier, const TeamName &team, TimePoint now)
{
    usages_[{ tier, team }].arrived.add(now);
}

void LimitedAdmission::noteServed(std::uint32_t tier, const TeamName &team, TimePoint now)
{
    usages_[{ tier, team }].served.add(now);
}

bool LimitedAdmission::admits(std::uint32_t tier,
                              const TeamName &team,
                              const RequestPermits &permits,
                              TimePoint now) const
{
    const auto own = usages_.find({ tier, team });
    const double ownServed = own == usages_.end() ? 0.0 : own->second.served.at(now);
    double recentBefore = 0.0;
    for (const auto &[key, usage] : usages_) {
        const auto &[otherTier, otherTeam] = key;
        if (otherTier > tier) {
            break;
        }
        const bool isServedLess = otherTeam != team && usage.served.at(now) + MinLead < ownServed;
        if (otherTier < tier || isServedLess) {
            recentBefore += usage.arrived.at(now);
        }
    }
    const double arrivalsPerSecond = recentBefore * std::numbers::ln2 / HalfLifeSeconds;
    const double expected = arrivalsPerSecond * std::chrono::duration<double>(permits.remaining).count();
    return static_cast<double>(permits.count) > expected;
}

void LimitedAdmission::expire(TimePoint now)
{
    std::erase_if(usages_, [now](const auto &item) {
        const Usage &usage = item.second;
        return usage.arrived.at(now) < MinEvents && usage.served.at(now) < MinEvents;
    });
}

} // namespace GeraniumLever
