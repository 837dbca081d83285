#include "servers/routing/configuration_tracker.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** Number of earlier configurations that are remembered. */
constexpr std::size_t MaxReplaced = 1000;

} // namespace

bool ConfigurationTracker::update(const StoredConfiguration &stored, const StoreEras &eras, TimePoint asOf)
{
    const bool isFirst = table_ == nullptr;
    if (!isFirst && stored.configuration->id() == id()) {
        era_ = std::max(era_, stored.state.era);
        const bool isRewritten = !eras.isOutdated(stored.state) && eras.isWrittenInEra(stored.rowVersion);
        if (isRewritten || (!eras.isOutdated(stored.state) && !eras.mayLackRows(asOf))) {
            newestAsOf_ = std::max(newestAsOf_.value_or(asOf), asOf);
        }
        return false;
    }
    if (!isFirst && !isNewer(stored, eras, asOf)) {
        return false;
    }
    if (!isFirst) {
        replaced_.push_back(id());
        if (replaced_.size() > MaxReplaced) {
            replaced_.pop_front();
        }
    }
    table_ = std::make_shared<const RouteTable>(stored.configuration);
    era_ = stored.state.era;
    // Otherwise it may have been replaced by one that the store has lost. It is at least as new as the one before.
    if (!eras.mayLackRows(asOf) || eras.isWrittenInEra(stored.rowVersion)) {
        newestAsOf_ = asOf;
    }
    return true;
}

bool ConfigurationTracker::isNewer(const StoredConfiguration &stored, const StoreEras &eras, TimePoint asOf) const
{
    const ConfigurationId read = stored.configuration->id();
    if (stored.state.era == era_) {
        return read.version > version();
    }
    if (wasReplaced(read)) {
        return false;
    }
    if (eras.isOutdated(stored.state)) {
        return read.version > version() && era_ < stored.state.era;
    }
    if (read.version >= version()) {
        return true;
    }
    // A lower number is either an old configuration or, once all lost ones have been written again, a new one.
    return eras.isWrittenInEra(stored.rowVersion) && !eras.mayLackRows(asOf);
}

bool ConfigurationTracker::wasReplaced(const ConfigurationId &configuration) const
{
    return std::find(replaced_.begin(), replaced_.end(), configuration) != replaced_.end();
}

bool ConfigurationTracker::confirm(const ConfigurationId &confirmed, const StoreEras &eras, TimePoint asOf)
{
    if (table_ == nullptr || confirmed != id() || eras.mayLackRows(asOf)) {
        return false;
    }
    newestAsOf_ = std::max(newestAsOf_.value_or(asOf), asOf);
    return true;
}

void ConfigurationTracker::withdrawConfirmations(TimePoint since)
{
    if (newestAsOf_.has_value() && *newestAsOf_ >= since) {
        newestAsOf_.reset();
    }
}

std::optional<Duration> ConfigurationTracker::age(TimePoint now) const
{
    if (table_ == nullptr || !newestAsOf_.has_value()) {
        return std::nullopt;
    }
    return now - *newestAsOf_;
}

ConfigurationId ConfigurationTracker::id() const
{
    return table_ == nullptr ? ConfigurationId() : table_->configuration().id();
}

} // namespace GeraniumLever
