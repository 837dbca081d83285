#include "servers/routing/store_eras.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

bool StoreEras::note(const StoreState &state, TimePoint now)
{
    if (state.era < era_) {
        return false;
    }
    if (state.era == era_) {
        firstVersion_ = std::min(firstVersion_, state.version);
        return false;
    }
    const bool hadEra = std::exchange(era_, state.era) != 0;
    firstVersion_ = state.version;
    // The first era that a node sees may have begun long before.
    since_ = hadEra ? std::optional<TimePoint>(now) : std::nullopt;
    return hadEra;
}

bool StoreEras::note(const StoreEraReport &report, TimePoint now)
{
    if (report.era == 0 || report.era < era_) {
        return false;
    }
    bool learnt = false;
    if (report.era > era_) {
        learnt = note(StoreState { report.era, report.firstVersion }, now);
    }
    firstVersion_ = std::min(firstVersion_, report.firstVersion);
    if (!report.age.has_value()) {
        return learnt;
    }
    const TimePoint since = now - *report.age;
    learnt = learnt || !since_.has_value();
    since_ = std::min(since_.value_or(since), since);
    return learnt;
}

StoreEraReport StoreEras::report(TimePoint now) const
{
    StoreEraReport report { era_, std::nullopt, firstVersion_ };
    if (since_.has_value()) {
        report.age = now - *since_;
    }
    return report;
}

} // namespace GeraniumLever
