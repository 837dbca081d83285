#include "servers/routing/configuration_tracker.h"

#include <algorithm>

namespace GeraniumLever {

bool ConfigurationTracker::update(const SiteConfigurationPtr &configuration, TimePoint asOf)
{
    if (table_ != nullptr && configuration->version < version()) {
        return false;
    }
    const bool newer = table_ == nullptr || configuration->version > version();
    if (newer) {
        table_ = std::make_shared<const RouteTable>(configuration);
        newestAsOf_ = asOf;
        return true;
    }
    newestAsOf_ = std::max(newestAsOf_, asOf);
    return false;
}

bool ConfigurationTracker::confirm(ConfigurationVersion confirmed, TimePoint asOf)
{
    if (table_ == nullptr || confirmed != version()) {
        return false;
    }
    newestAsOf_ = std::max(newestAsOf_, asOf);
    return true;
}

std::optional<Duration> ConfigurationTracker::age(TimePoint now) const
{
    if (table_ == nullptr) {
        return std::nullopt;
    }
    return now - newestAsOf_;
}

ConfigurationVersion ConfigurationTracker::version() const
{
    return table_ == nullptr ? ConfigurationVersion() : table_->configuration().version;
}

} // namespace GeraniumLever
