/** Measures the processor time that the scheduler takes for one slot request. */
#pragma once

#include <cstddef>
#include <iosfwd>

namespace GeraniumLever {

/** Prints nanoseconds of processor time per request, with its grant and its end, at 16 upstreams for queues of several
 *  lengths. */
void printSchedulerCost(std::ostream &out, std::size_t requests);

} // namespace GeraniumLever
