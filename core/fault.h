/** Validation errors in user-written files: change tickets, settings and scenario files. */
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace GeraniumLever {

/** One validation error. */
struct Fault
{
    /** 1-based line number; 0 if the fault belongs to no line, for example a missing entry. */
    std::size_t line = 0;
    std::string message;

    auto operator<=>(const Fault &) const = default;
};

/** Formats one fault per line as "line N: message", or only the message if the line number is 0. */
std::string formatFaults(const std::vector<Fault> &faults);

} // namespace GeraniumLever
