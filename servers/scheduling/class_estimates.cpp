#include "servers/scheduling/class_estimates.h"

namespace GeraniumLever {

ClassEstimates::ClassStatistics &ClassEstimates::statisticsOf(const ClassName &requestClass)
{
    ClassStatistics *known = classes_.edit(requestClass);
    return known == nullptr ? classes_.put(requestClass, ClassStatistics {}) : *known;
}

void ClassEstimates::recordArrival(const ClassName &requestClass, TimePoint now)
{
    statisticsOf(requestClass).arrivals.add(now);
}

void ClassEstimates::recordGrant(const ClassName &requestClass, TimePoint now)
{
    statisticsOf(requestClass).grants.add(now);
}

void ClassEstimates::recordSeatTime(const ClassName &requestClass, Duration held)
{
    const double seconds = std::chrono::duration<double>(held).count();
    statisticsOf(requestClass).seatTime.add(seconds);
    seatTime_.add(seconds);
}

std::optional<double> ClassEstimates::seatSeconds(const ClassName &requestClass) const
{
    const ClassStatistics *statistics = classes_.find(requestClass);
    if (statistics != nullptr && statistics->seatTime.samples() > 0) {
        return statistics->seatTime.value();
    }
    if (seatTime_.samples() == 0) {
        return std::nullopt;
    }
    return seatTime_.value();
}

double ClassEstimates::arrivalRate(const ClassName &requestClass, TimePoint now) const
{
    const ClassStatistics *statistics = classes_.find(requestClass);
    return statistics == nullptr ? 0.0 : statistics->arrivals.rate(now);
}

double ClassEstimates::grantRate(const ClassName &requestClass, TimePoint now) const
{
    const ClassStatistics *statistics = classes_.find(requestClass);
    return statistics == nullptr ? 0.0 : statistics->grants.rate(now);
}

} // namespace GeraniumLever
