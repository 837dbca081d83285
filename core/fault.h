/** Faults found in texts that people write: change tickets, settings and scenario files. */
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace GeraniumLever {

/** One fault of a text. */
struct Fault
{
    /** 1-based; 0 if the fault has no line, as for a missing entry of the whole text. */
    std::size_t line = 0;
    std::string message;

    auto operator<=>(const Fault &) const = default;
};

/** One line a fault: "line N: message", without the number if it is 0. */
std::string formatFaults(const std::vector<Fault> &faults);

} // namespace GeraniumLever
