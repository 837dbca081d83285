/** Measurements of a shard for each class: seat time, arrival rate and grant rate. */
#pragma once

#include <optional>

#include "servers/scheduling/moving_average.h"
#include "servers/scheduling/rate_meter.h"

namespace GeraniumLever {

class ClassEstimates
{
public:
    void recordArrival(const ClassName &requestClass, TimePoint now);
    void recordGrant(const ClassName &requestClass, TimePoint now);

    /** Records that a completed attempt of the class held its seat for the given time. */
    void recordSeatTime(const ClassName &requestClass, Duration held);

    /** Mean seat time in seconds, of the class or, if it has no samples, of all classes; std::nullopt if there are no
     * samples at all. */
    std::optional<double> seatSeconds(const ClassName &requestClass) const;

    /** Requests per second. */
    double arrivalRate(const ClassName &requestClass, TimePoint now) const;

    /** Grants per second. */
    double grantRate(const ClassName &requestClass, TimePoint now) const;

private:
    struct ClassStatistics
    {
        RateMeter arrivals;
        RateMeter grants;
        /** In seconds. */
        MovingAverage seatTime { 0.02 };
    };

    ClassStatistics &statisticsOf(const ClassName &requestClass);

    Table<ClassName, ClassStatistics> classes_;
    /** In seconds, over all classes. */
    MovingAverage seatTime_ { 0.02 };
};

} // namespace GeraniumLever
