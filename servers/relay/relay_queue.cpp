#include "servers/relay/relay_queue.h"

#include <algorithm>

namespace GeraniumLever {

void RelayQueue::push(std::uint32_t tier, const TeamName &team, const RequestId &request)
{
    TierQueue &tierQueue = tiers_[tier];
    TeamQueue &teamQueue = tierQueue.teams[team];
    teamQueue.startTag = std::max(teamQueue.startTag, tierQueue.virtualTime);
    teamQueue.requests.push_back(request);
    ++tierQueue.waiting;
    ++size_;
}

bool RelayQueue::erase(std::uint32_t tier, const TeamName &team, const RequestId &request)
{
    const auto tierQueue = tiers_.find(tier);
    if (tierQueue == tiers_.end()) {
        return false;
    }
    const auto teamQueue = tierQueue->second.teams.find(team);
    if (teamQueue == tierQueue->second.teams.end() || std::erase(teamQueue->second.requests, request) == 0) {
        return false;
    }
    --tierQueue->second.waiting;
    --size_;
    if (tierQueue->second.waiting == 0) {
        tiers_.erase(tierQueue);
    }
    return true;
}

std::vector<RequestId> RelayQueue::first(std::size_t count) const
{
    std::vector<RequestId> requests;
    for (const auto &[tier, tierQueue] : tiers_) {
        std::vector<const TeamQueue *> teams;
        for (const auto &[team, teamQueue] : tierQueue.teams) {
            if (!teamQueue.requests.empty()) {
                teams.push_back(&teamQueue);
            }
        }
        std::stable_sort(teams.begin(), teams.end(), [](const TeamQueue *left, const TeamQueue *right) {
            return left->startTag < right->startTag;
        });
        // Takes one request of each team in turn; a team's further requests follow after those of the others.
        for (std::size_t round = 0; !teams.empty(); ++round) {
            std::erase_if(teams, [round](const TeamQueue *team) { return team->requests.size() <= round; });
            for (const TeamQueue *team : teams) {
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
    const auto tierQueue = tiers_.find(tier);
    if (tierQueue == tiers_.end()) {
        return;
    }
    TeamQueue &teamQueue = tierQueue->second.teams[team];
    tierQueue->second.virtualTime = std::max(tierQueue->second.virtualTime, teamQueue.startTag);
    teamQueue.startTag = std::max(teamQueue.startTag, tierQueue->second.virtualTime) + cost;
}

std::size_t RelayQueue::maxAhead(std::uint32_t tier) const
{
    std::size_t count = 0;
    for (const auto &[other, tierQueue] : tiers_) {
        if (other > tier) {
            break;
        }
        count += tierQueue.waiting;
    }
    return count;
}

std::size_t RelayQueue::estimateAhead(std::uint32_t tier, const TeamName &team) const
{
    const auto tierQueue = tiers_.find(tier);
    if (tierQueue == tiers_.end()) {
        return maxAhead(tier);
    }
    const auto own = tierQueue->second.teams.find(team);
    const std::size_t ownWaiting = own == tierQueue->second.teams.end() ? 0 : own->second.requests.size();
    std::size_t count = maxAhead(tier) - tierQueue->second.waiting;
    for (const auto &[other, teamQueue] : tierQueue->second.teams) {
        count += std::min(teamQueue.requests.size(), ownWaiting + (other == team ? 0 : 1));
    }
    return count;
}

} // namespace GeraniumLever
