#include "servers/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace GeraniumLever {

namespace {

/** Tier of requests without a team, and of teams for which none is set. */
constexpr std::uint32_t DefaultTeamTier = 0;

void sortUnique(std::vector<std::uint32_t> &tiers)
{
    std::sort(tiers.begin(), tiers.end());
    tiers.erase(std::unique(tiers.begin(), tiers.end()), tiers.end());
}

std::uint32_t indexOf(const std::vector<std::uint32_t> &tiers, std::uint32_t tier)
{
    return static_cast<std::uint32_t>(std::lower_bound(tiers.begin(), tiers.end(), tier) - tiers.begin());
}

} // namespace

RouteTable::RouteTable(SiteConfigurationPtr configuration) : configuration_(std::move(configuration))
{
    for (const Route &route : configuration_->routes) {
        hosts_[normalizedHost(route.host)].emplace(route.pathPrefix, &route);
    }
    for (const RouteTeam &team : configuration_->teams) {
        for (const std::string &key : team.keys) {
            keys_.emplace(key, &team);
        }
    }
    for (const PoolSettings &traits : configuration_->pools) {
        pools_.emplace(traits.name, &traits);
    }
    teamTiers_.push_back(DefaultTeamTier);
    for (const RouteTeam &team : configuration_->teams) {
        teamTiers_.push_back(team.tier.value_or(DefaultTeamTier));
    }
    for (const Route &route : configuration_->routes) {
        routeTiers_.push_back(route.tier);
    }
    sortUnique(teamTiers_);
    sortUnique(routeTiers_);
}

std::uint32_t RouteTable::tierOf(const Route &route, const RouteTeam *team) const
{
    const std::uint32_t teamTier = team == nullptr ? DefaultTeamTier : team->tier.value_or(DefaultTeamTier);
    const std::uint32_t routeTiers = static_cast<std::uint32_t>(routeTiers_.size());
    return indexOf(teamTiers_, teamTier) * routeTiers + indexOf(routeTiers_, route.tier);
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto prefixes = hosts_.find(normalizedHost(host));
    if (prefixes == hosts_.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so that the candidates are the parts of the path up to one of its slashes.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const Prefixes::const_iterator found = prefixes->second.find(path.substr(0, end + 1));
        if (found != prefixes->second.end()) {
            return found->second;
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

const RouteTeam *RouteTable::teamOf(const std::string &key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : found->second;
}

const PoolSettings *RouteTable::pool(const PoolName &name) const
{
    const auto found = pools_.find(name);
    return found == pools_.end() ? nullptr : found->second;
}

std::string normalizedHost(std::string_view field)
{
    std::string host(field.substr(0, field.find(':')));
    std::transform(host.begin(), host.end(), host.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return host;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace GeraniumLever
