/** Logs each routing or placement decision and keeps the most recent log lines for operators. */
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Writes one line per decision, "decision=KIND key=value ...", to glog at INFO level. */
class DecisionLog
{
public:
    void record(const Decision &decision);

    /** The most recent lines, at most the given number, oldest first. */
    std::vector<std::string> last(std::size_t count) const;

private:
    std::deque<std::string> lines_;
};

} // namespace GeraniumLever
