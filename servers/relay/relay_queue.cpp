#include "servers/relay/relay_queue.h"

#include <algorithm>

namespace GeraniumLever {

void RelayQueue::push(std::uint32_t tier, const TeamName &team, const RequestId &request)
{
    TierLine &line = tiers_[tier];
    TeamLine &teamLine = line.teams[team];
    teamLine.startTag = std::max(teamLine.startTag, line.virtualTime);
    teamLine.requests.push_back(request);
    ++line.waiting;
    ++size_;
}

bool RelayQueue::erase(std::uint32_t tier, const TeamName &team, const RequestId &request)
{
    const auto line = tiers_.find(tier);
    if (line == tiers_.end()) {
        return false;
    }
    const auto teamLine = line->second.teams.find(team);
    if (teamLine == line->second.teams.end() || std::erase(teamLine->second.requests, request) == 0) {
        return false;
    }
    --line->second.waiting;
    --size_;
    if (line->second.waiting == 0) {
        tiers_.erase(line);
    }
    return true;
}

std::optional<RequestId> RelayQueue::front() const
{
    if (tiers_.empty()) {
        return std::nullopt;
    }
    const TeamLine *best = nullptr;
    for (const auto &[team, line] : tiers_.begin()->second.teams) {
        if (!line.requests.empty() && (best == nullptr || line.startTag < best->startTag)) {
            best = &line;
        }
    }
    return best->requests.front();
}

void RelayQueue::charge(std::uint32_t tier, const TeamName &team, double cost)
{
    const auto line = tiers_.find(tier);
    if (line == tiers_.end()) {
        return;
    }
    TeamLine &teamLine = line->second.teams[team];
    line->second.virtualTime = std::max(line->second.virtualTime, teamLine.startTag);
    teamLine.startTag = std::max(teamLine.startTag, line->second.virtualTime) + cost;
}

std::size_t RelayQueue::ahead(std::uint32_t tier) const
{
    std::size_t count = 0;
    for (const auto &[other, line] : tiers_) {
        if (other > tier) {
            break;
        }
        count += line.waiting;
    }
    return count;
}

} // namespace GeraniumLever
