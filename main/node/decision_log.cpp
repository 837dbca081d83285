#include "main/node/decision_log.h"

#include <algorithm>

#include <glog/logging.h>

#include "drivers/log/log.h"

namespace GeraniumLever {

namespace {

constexpr std::size_t MaxStoredLines = 2000;

} // namespace

void DecisionLog::record(const Decision &decision)
{
    std::string line = formatDecision(decision);
    LOG(INFO) << line;
    lines_.push_back(std::move(line));
    if (lines_.size() > MaxStoredLines) {
        lines_.pop_front();
    }
}

std::vector<std::string> DecisionLog::last(std::size_t count) const
{
    const std::size_t taken = std::min(count, lines_.size());
    return std::vector<std::string>(lines_.end() - static_cast<std::ptrdiff_t>(taken), lines_.end());
}

} // namespace GeraniumLever
