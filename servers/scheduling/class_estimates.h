/** What a shard has measured of each class: seat time, arrivals and grants. */
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

    /** A seat was held for the given time. */
    void recordSeatTime(const ClassName &requestClass, Duration held);

    /** Mean seat time in seconds, of the class or else of all; nothing as long as none has been measured. */
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
        /** Seconds. */
        MovingAverage seatTime { 0.02 };
    };

    ClassStatistics &statisticsOf(const ClassName &requestClass);

    Table<ClassName, ClassStatistics> classes_;
    /** Seconds, over all classes. */
    MovingAverage seatTime_ { 0.02 };
};

} // namespace GeraniumLever
