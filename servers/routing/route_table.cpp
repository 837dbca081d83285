#include "servers/routing/route_table.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace GeraniumLever {

namespace {

/** Tier of requests without a team and of teams without a configured tier. */
constexpr std::uint32_t DefaultTeamTier = 0;

void sortUnique(std::vector<std::uint32_t> &tiers)
{
    std::sort(tiers.begin(), tiers.end());
    tiers.erase(std::unique(tiers.begin(), tiers.end()), tiers.end());
}

std::uint32_t rankOf(const std::vector<std::uint32_t> &tiers, std::uint32_t tier)
{
    return static_cast<std::uint32_t>(std::lower_bound(tiers.begin(), tiers.end(), tier) - tiers.begin());
}

} // namespace

RouteTable::RouteTable(SiteConfigurationPtr configuration) : configuration_(std::move(configuration))
{
    for (const Route &route : configuration_->routes) {
        routesByHost_[normalizedHost(route.host)].emplace(route.pathPrefix, &route);
    }
    for (const RouteTeam &team : configuration_->teams) {
        for (const std::string &key : team.keys) {
            teamsByKey_.emplace(key, &team);
        }
    }
    for (const PoolSettings &traits : configuration_->pools) {
        traitsByPool_.emplace(traits.name, &traits);
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
    return rankOf(teamTiers_, teamTier) * routeTiers + rankOf(routeTiers_, route.tier);
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const auto routesOfHost = routesByHost_.find(normalizedHost(host));
    if (routesOfHost == routesByHost_.end()) {
        return nullptr;
    }
    // Every prefix ends with a slash, so the candidates are the leading parts of the path that end with a slash, the
    // longest one first.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const RoutesByPrefix::const_iterator found = routesOfHost->second.find(path.substr(0, end + 1));
        if (found != routesOfHost->second.end()) {
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
    const auto found = teamsByKey_.find(key);
    return found == teamsByKey_.end() ? nullptr : found->second;
}

const PoolSettings *RouteTable::pool(const PoolName &name) const
{
    const auto found = traitsByPool_.find(name);
    return found == traitsByPool_.end() ? nullptr : found->second;
}

std::string normalizedHost(std::string_view hostHeader)
{
    std::string host(hostHeader.substr(0, hostHeader.find(':')));
    std::transform(host.begin(), host.end(), host.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return host;
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

} // namespace GeraniumLever
