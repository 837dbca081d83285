/** Entity of the waiting queue: a slot request without a seat. */
#pragma once

#include "core/core.h"

namespace GeraniumLever {

struct WaitingRequest
{
    SlotRequest request;
    /** The ingress that gets the answer. */
    NodeName from;
    TimePoint arrived;
    /** When the request is given up if it has no seat by then. */
    TimePoint deadline;
    /** Order of arrival at this scheduler. */
    std::uint64_t sequence = 0;
    std::uint32_t tier = 0;
    /** The team's weight in fair queuing. */
    std::uint32_t weight = 1;

    bool operator==(const WaitingRequest &) const = default;
};

} // namespace GeraniumLever
