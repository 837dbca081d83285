#include "servers/scheduling/class_estimates.h"

namespace GeraniumLever {

ClassEstimates::Measured &ClassEstimates::rowOf(const ClassName &requestClass)
{
    Measured *known = classes_.edit(requestClass);
    return known == nullptr ? classes_.put(requestClass, Measured {}) : *known;
}

void ClassEstimates::noteArrival(const ClassName &requestClass, TimePoint now)
{
    rowOf(requestClass).arrivals.add(now);
}

void ClassEstimates::noteGrant(const ClassName &requestClass, TimePoint now)
{
    rowOf(requestClass).grants.add(now);
}

void ClassEstimates::noteSeatTime(const ClassName &requestClass, Duration held)
{
    const double seconds = std::chrono::duration<double>(held).count();
    rowOf(requestClass).seatTime.add(seconds);
    seatTime_.add(seconds);
}

std::optional<double> ClassEstimates::seatSeconds(const ClassName &requestClass) const
{
    const Measured *measured = classes_.find(requestClass);
    if (measured != nullptr && measured->seatTime.samples() > 0) {
        return measured->seatTime.value();
    }
    if (seatTime_.samples() == 0) {
        return std::nullopt;
    }
    return seatTime_.value();
}

double ClassEstimates::arrivalRate(const ClassName &requestClass, TimePoint now) const
{
    const Measured *measured = classes_.find(requestClass);
    return measured == nullptr ? 0.0 : measured->arrivals.rate(now);
}

double ClassEstimates::grantRate(const ClassName &requestClass, TimePoint now) const
{
    const Measured *measured = classes_.find(requestClass);
    return measured == nullptr ? 0.0 : measured->grants.rate(now);
}

} // namespace GeraniumLever
