/** Lookup of routes, teams and pools in one configuration. */
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "servers/routing/site_configuration.h"

namespace GeraniumLever {

/** Index of one configuration, which it owns jointly. Returned pointers stay valid as long as the table exists. */
class RouteTable
{
public:
    explicit RouteTable(SiteConfigurationPtr configuration);

    /** The route of the host with the longest matching path prefix; nullptr if there is none. path: without the query.
     */
    const Route *match(std::string_view host, std::string_view path) const;

    /** The team that owns the API key; nullptr if none does. */
    const RouteTeam *teamOf(const std::string &key) const;

    /** The pool's traits; nullptr if the configuration does not contain the pool. */
    const PoolSettings *pool(const PoolName &name) const;

    /** True if requests of the route must carry an API key. */
    bool needsKey(const Route &route) const { return !route.open && !configuration_->teams.empty(); }

    /** Priority rank of a team's requests on a route among all teams and routes; 0 is the highest. Ordered by the
     * team's tier, then by the route's. team: nullptr for requests without a key. */
    std::uint32_t tierOf(const Route &route, const RouteTeam *team) const;

    /** Number of different ranks that tierOf() can return. */
    std::uint32_t tierCount() const { return static_cast<std::uint32_t>(teamTiers_.size() * routeTiers_.size()); }

    const SiteConfiguration &configuration() const { return *configuration_; }

private:
    /** Routes of one host by path prefix. */
    using RoutesByPrefix = std::map<std::string, const Route *, std::less<>>;

    SiteConfigurationPtr configuration_;
    std::map<std::string, RoutesByPrefix, std::less<>> routesByHost_;
    std::unordered_map<std::string, const RouteTeam *> teamsByKey_;
    std::map<PoolName, const PoolSettings *> traitsByPool_;
    /** Distinct tiers in ascending order. */
    std::vector<std::uint32_t> teamTiers_;
    std::vector<std::uint32_t> routeTiers_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/** The host name of a Host header in lower case, without the port. */
std::string normalizedHost(std::string_view hostHeader);

/** The request target without its query. */
std::string_view pathOf(std::string_view target);

} // namespace GeraniumLever
