/** Row of the waiting queue: a slot request that has no seat yet. */
#pragma once

#include "core/core.h"

namespace GeraniumLever {

/** Order of service among the requests of one tier. */
enum class ServiceGroup : std::uint8_t {
    /** Part of the answer has been delivered; the caller waits for the rest. */
    Resumed,
    /** The first-token target can still be met. */
    OnTime,
    /** The first-token target has been missed or cannot be met; served only with seats that the other groups leave. */
    Late,
};

struct WaitingRequest
{
    SlotRequest request;
    /** The ingress node that gets the reply. */
    NodeName from;
    TimePoint arrivedAt;
    /** The request is refused if it has no seat by this time. */
    TimePoint deadline;
    ServiceGroup group = ServiceGroup::OnTime;
    /** The time from which a request of group OnTime is late. */
    TimePoint onTimeUntil;
    /** Sequence number in order of arrival at this scheduler. */
    std::uint64_t sequence = 0;
    std::uint32_t tier = 0;
    /** The team's weight in fair queuing. */
    std::uint32_t weight = 1;

    bool operator==(const WaitingRequest &) const = default;
};

} // namespace GeraniumLever
