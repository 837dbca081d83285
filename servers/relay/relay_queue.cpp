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

std::vector<RequestId> RelayQueue::first(std::size_t count) const
{
    std::vector<RequestId> requests;
    for (const auto &[tier, line] : tiers_) {
        std::vector<const TeamLine *> teams;
        for (const auto &[team, teamLine] : line.teams) {
            if (!teamLine.requests.empty()) {
                teams.push_back(&teamLine);
            }
        }
        std::stable_sort(teams.begin(), teams.end(), [](const TeamLine *left, const TeamLine *right) {
            return left->startTag < right->startTag;
        });
        // One request of each team in turn; a team's further ones follow once those of the others have been tried.
        for (std::size_t round = 0; !teams.empty(); ++round) {
            std::erase_if(teams, [round](const TeamLine *team) { return team->requests.size() <= round; });
            for (const TeamLine *team : teams) {
                if (requests.size() == count) {
                    return requests;
                }
                requests.push_back(team->requests[round]);
            }
        }
    }
    return requests;
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

std::size_t RelayQueue::aheadOf(std::uint32_t tier, const TeamName &team) const
{
    const auto line = tiers_.find(tier);
    if (line == tiers_.end()) {
        return ahead(tier);
    }
    const auto own = line->second.teams.find(team);
    const std::size_t ownCount = own == line->second.teams.end() ? 0 : own->second.requests.size();
    std::size_t count = ahead(tier) - line->second.waiting;
    for (const auto &[other, teamLine] : line->second.teams) {
        count += std::min(teamLine.requests.size(), ownCount + (other == team ? 0 : 1));
    }
    return count;
}

} // namespace GeraniumLever
