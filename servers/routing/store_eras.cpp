#include "servers/routing/store_eras.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

bool StoreEras::note(const StoreState &state, TimePoint now)
{
    if (state.era < era_) {
        return false;
    }
    const bool hadState = std::exchange(hasState_, true);
    if (state.era == era_) {
        firstVersion_ = std::min(firstVersion_, state.version);
        return false;
    }
    era_ = state.era;
    firstVersion_ = state.version;
    since_ = now;
    return hadState;
}

bool StoreEras::note(const StoreEraReport &report, TimePoint now)
{
    if (report.era == 0 || report.era < era_) {
        return false;
    }
    const bool isLater = note(StoreState { report.era, report.firstVersion }, now);
    since_ = std::min(since_, now - report.age);
    return isLater;
}

StoreEraReport StoreEras::report(TimePoint now) const
{
    return { era_, era_ == 0 ? Duration(0) : now - since_, firstVersion_ };
}

} // namespace GeraniumLever
