/** Memory of another process. */
#pragma once

#include <cstddef>
#include <optional>

namespace GeraniumLever {

/** Resident set size in KiB, from /proc/PID/status; empty if there is no such process. */
std::optional<std::size_t> residentKibibytes(int processId);

/** Processor time used so far in seconds, from /proc/PID/stat; empty if there is no such process. */
std::optional<double> processorSeconds(int processId);

} // namespace GeraniumLever
