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
        if (!eras.isOutdated(stored.state)) {
            noteShown(stored, eras, asOf);
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
    noteShown(stored, eras, asOf);
    return true;
}

void ConfigurationTracker::noteShown(const StoredConfiguration &stored, const StoreEras &eras, TimePoint asOf)
{
    era_ = stored.state.era;
    shownAsOf_ = asOf;
    // Otherwise it may have been replaced by one that the store has lost. It is at least as new as the one before.
    if (!eras.mayLackRows(asOf) || eras.isWrittenInEra(stored.rowVersion)) {
        newestAsOf_ = std::max(newestAsOf_.value_or(asOf), asOf);
    }
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

void ConfigurationTracker::confirmLastRead(const StoreEras &eras)
{
    if (table_ != nullptr && era_ == eras.era() && !eras.mayLackRows(shownAsOf_)) {
        newestAsOf_ = std::max(newestAsOf_.value_or(shownAsOf_), shownAsOf_);
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
