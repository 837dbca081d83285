/** Entity of the waiting queue: a slot request without a seat. */
#pragma once

#include "core/core.h"

namespace GeraniumLever {

/** Order of service among the requests of one tier. */
enum class ServiceGroup : std::uint8_t {
    /** The answer has begun; its caller waits for the rest. */
    Resumed,
    /** The target for the first token can still be met. */
    OnTime,
    /** The target has been missed, or will be; served with what the others leave. */
    Late,
};

struct WaitingRequest
{
    SlotRequest request;
    /** The ingress that gets the answer. */
    NodeName from;
    TimePoint arrivedAt;
    /** When the request is given up if it has no seat by then. */
    TimePoint deadline;
    ServiceGroup group = ServiceGroup::OnTime;
    /** When a request that is on time becomes late. */
    TimePoint onTimeUntil;
    /** Order of arrival at this scheduler. */
    std::uint64_t sequence = 0;
    std::uint32_t tier = 0;
    /** The team's weight in fair queuing. */
    std::uint32_t weight = 1;

    bool operator==(const WaitingRequest &) const = default;
};

} // namespace GeraniumLever
