/** Lookup in one configuration. */
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "servers/routing/site_configuration.h"

namespace GeraniumLever {

/** Index of a configuration, which it keeps alive. Pointers that it returns live as long as the table. */
class RouteTable
{
public:
    explicit RouteTable(SiteConfigurationPtr configuration);

    /** The route of the host with the longest prefix of the path; nullptr if there is none. path: without a query. */
    const Route *match(std::string_view host, std::string_view path) const;

    /** The team that holds the key; nullptr if none does. */
    const RouteTeam *teamOf(const std::string &key) const;

    /** The pool's traits; nullptr if the configuration does not name it. */
    const PoolSettings *pool(const PoolName &name) const;

    /** True if requests of the route must carry a key. */
    bool needsKey(const Route &route) const { return !route.open && !configuration_->teams.empty(); }

    /** Rank of a team's requests on a route among all teams and routes, 0 being the highest: the team's tier decides
     *  first, then the route's. team: nullptr for requests without a key. */
    std::uint32_t tierOf(const Route &route, const RouteTeam *team) const;

    /** Number of ranks. */
    std::uint32_t tierCount() const { return static_cast<std::uint32_t>(teamTiers_.size() * routeTiers_.size()); }

    const SiteConfiguration &configuration() const { return *configuration_; }

private:
    /** Routes of one host by their prefix. */
    using Prefixes = std::map<std::string, const Route *, std::less<>>;

    SiteConfigurationPtr configuration_;
    std::map<std::string, Prefixes, std::less<>> hosts_;
    std::unordered_map<std::string, const RouteTeam *> keys_;
    std::map<PoolName, const PoolSettings *> pools_;
    /** Different tiers in ascending order. */
    std::vector<std::uint32_t> teamTiers_;
    std::vector<std::uint32_t> routeTiers_;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/** The host of a Host field in lower case and without its port. */
std::string normalizedHost(std::string_view field);

/** The target without its query. */
std::string_view pathOf(std::string_view target);

} // namespace GeraniumLever
