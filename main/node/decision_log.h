/** The log line of each routing or placement decision, and the last ones kept for operators. */
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** One line a decision: "decision=KIND key=value ...", to glog at INFO level. */
class DecisionLog
{
public:
    void record(const Decision &decision);

    /** At most the given number of lines, oldest first. */
    std::vector<std::string> last(std::size_t count) const;

private:
    std::deque<std::string> lines_;
};

} // namespace GeraniumLever
