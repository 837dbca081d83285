#include "servers/routing/configuration_tracker.h"

#include <algorithm>

namespace GeraniumLever {

bool ConfigurationKeeper::learn(const SiteConfigurationPtr &configuration, TimePoint asOf)
{
    if (table_ != nullptr && configuration->version < version()) {
        return false;
    }
    const bool newer = table_ == nullptr || configuration->version > version();
    if (newer) {
        table_ = std::make_shared<const RouteTable>(configuration);
        knownAsOf_ = asOf;
        return true;
    }
    knownAsOf_ = std::max(knownAsOf_, asOf);
    return false;
}

bool ConfigurationKeeper::confirm(ConfigurationVersion confirmed, TimePoint asOf)
{
    if (table_ == nullptr || confirmed != version()) {
        return false;
    }
    knownAsOf_ = std::max(knownAsOf_, asOf);
    return true;
}

std::optional<Duration> ConfigurationKeeper::age(TimePoint now) const
{
    if (table_ == nullptr) {
        return std::nullopt;
    }
    return now - knownAsOf_;
}

ConfigurationVersion ConfigurationKeeper::version() const
{
    return table_ == nullptr ? ConfigurationVersion() : table_->configuration().version;
}

} // namespace GeraniumLever
