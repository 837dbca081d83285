#include "servers/scheduling/waiting_queue.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** Idle teams per class above which those whose start tag is not ahead of the virtual time are removed; the others must
 * keep it, or they would escape the charge for seats that they have used. */
constexpr std::size_t MaxIdleTeams = 1024;

} // namespace

ClassRank WaitingQueue::rankOf(const WaitingRequest &waiting)
{
    return ClassRank { waiting.tier, waiting.group, waiting.request.requestClass };
}

void WaitingQueue::push(WaitingRequest waiting)
{
    const RequestId id = waiting.request.request;
    if (const WaitingRequest *previous = find(id); previous != nullptr) {
        waiting.sequence = previous->sequence;
        waiting.arrivedAt = previous->arrivedAt;
        erase(id);
    }
    ClassQueue &queue = classes_[rankOf(waiting)];
    TeamQueue &team = queue.teams[waiting.request.team];
    if (team.requests.empty()) {
        team.startTag = std::max(team.startTag, queue.virtualTime);
        queue.active.emplace(team.startTag, waiting.request.team);
        team.weight = std::max<std::uint32_t>(1, waiting.weight);
        queue.activeWeight += team.weight;
    }
    const DeadlineKey key { waiting.deadline, waiting.sequence };
    team.requests.emplace(key, id);
    queue.byArrival.emplace(waiting.sequence, id);
    deadlines_.emplace(key, id);
    if (waiting.group == ServiceGroup::OnTime) {
        onTimeLimits_.emplace(DeadlineKey { waiting.onTimeUntil, waiting.sequence }, id);
    }
    arrivals_.emplace(waiting.sequence, id);
    requests_.emplace(id, std::move(waiting));
}

const WaitingRequest *WaitingQueue::find(RequestId request) const
{
    const std::unordered_map<RequestId, WaitingRequest>::const_iterator found = requests_.find(request);
    return found == requests_.end() ? nullptr : &found->second;
}

void WaitingQueue::removeFromIndexes(const WaitingRequest &waiting)
{
    ClassQueue &queue = classes_[rankOf(waiting)];
    TeamQueue &team = queue.teams[waiting.request.team];
    const DeadlineKey key { waiting.deadline, waiting.sequence };
    team.requests.erase(key);
    if (team.requests.empty()) {
        queue.active.erase({ team.startTag, waiting.request.team });
        queue.activeWeight -= team.weight;
        removeIdleTeams(queue);
    }
    queue.byArrival.erase(waiting.sequence);
    deadlines_.erase(key);
    onTimeLimits_.erase({ waiting.onTimeUntil, waiting.sequence });
    arrivals_.erase(waiting.sequence);
}

bool WaitingQueue::erase(RequestId request)
{
    const WaitingRequest *waiting = find(request);
    if (waiting == nullptr) {
        return false;
    }
    removeFromIndexes(*waiting);
    requests_.erase(request);
    return true;
}

WaitingRequest WaitingQueue::dequeue(RequestId request, double cost, std::uint32_t weight)
{
    const std::unordered_map<RequestId, WaitingRequest>::iterator found = requests_.find(request);
    WaitingRequest waiting = std::move(found->second);
    requests_.erase(found);
    charge(waiting, cost, weight);
    removeFromIndexes(waiting);
    return waiting;
}

void WaitingQueue::charge(const WaitingRequest &waiting, double cost, std::uint32_t weight)
{
    ClassQueue &queue = classes_[rankOf(waiting)];
    TeamQueue &team = queue.teams[waiting.request.team];
    queue.active.erase({ team.startTag, waiting.request.team });
    queue.virtualTime = std::max(queue.virtualTime, team.startTag);
    team.startTag += cost / std::max<double>(weight, 1.0);
    queue.active.emplace(team.startTag, waiting.request.team);
}

void WaitingQueue::removeIdleTeams(ClassQueue &queue)
{
    if (queue.teams.size() <= queue.active.size() + MaxIdleTeams) {
        return;
    }
    std::erase_if(queue.teams, [&queue](const std::pair<const TeamName, TeamQueue> &entry) {
        return entry.second.requests.empty() && entry.second.startTag <= queue.virtualTime;
    });
}

void WaitingQueue::demoteLate(TimePoint now)
{
    while (!onTimeLimits_.empty() && onTimeLimits_.begin()->first.first <= now) {
        WaitingRequest waiting = *find(onTimeLimits_.begin()->second);
        waiting.group = ServiceGroup::Late;
        push(std::move(waiting));
    }
}

std::vector<ClassRank> WaitingQueue::ranks() const
{
    std::vector<ClassRank> ranks;
    for (const auto &[rank, queue] : classes_) {
        if (!queue.byArrival.empty()) {
            ranks.push_back(rank);
        }
    }
    return ranks;
}

std::vector<RequestId> WaitingQueue::candidates(const ClassRank &rank, std::size_t limit) const
{
    std::vector<RequestId> found;
    const std::map<ClassRank, ClassQueue>::const_iterator queue = classes_.find(rank);
    if (queue == classes_.end()) {
        return found;
    }
    for (const auto &[startTag, name] : queue->second.active) {
        if (found.size() >= limit) {
            return found;
        }
        found.push_back(queue->second.teams.at(name).requests.begin()->second);
    }
    for (const auto &[startTag, name] : queue->second.active) {
        const std::map<DeadlineKey, RequestId> &requests = queue->second.teams.at(name).requests;
        for (std::map<DeadlineKey, RequestId>::const_iterator next = std::next(requests.begin());
             next != requests.end() && found.size() < limit;
             ++next) {
            found.push_back(next->second);
        }
    }
    return found;
}

std::size_t WaitingQueue::sizeOf(const ClassRank &rank) const
{
    const std::map<ClassRank, ClassQueue>::const_iterator queue = classes_.find(rank);
    return queue == classes_.end() ? 0 : queue->second.byArrival.size();
}

std::size_t WaitingQueue::sizeOfClass(std::uint32_t tier, const ClassName &name) const
{
    return sizeOf({ tier, ServiceGroup::Resumed, name }) + sizeOf({ tier, ServiceGroup::OnTime, name })
        + sizeOf({ tier, ServiceGroup::Late, name });
}

const WaitingRequest *WaitingQueue::newestOf(const ClassRank &rank) const
{
    const std::map<ClassRank, ClassQueue>::const_iterator queue = classes_.find(rank);
    if (queue == classes_.end() || queue->second.byArrival.empty()) {
        return nullptr;
    }
    return find(queue->second.byArrival.rbegin()->second);
}

const WaitingRequest *WaitingQueue::oldestOf(const ClassRank &rank) const
{
    const std::map<ClassRank, ClassQueue>::const_iterator queue = classes_.find(rank);
    if (queue == classes_.end() || queue->second.byArrival.empty()) {
        return nullptr;
    }
    return find(queue->second.byArrival.begin()->second);
}

const WaitingRequest *WaitingQueue::newestOfLowestTier() const
{
    const WaitingRequest *newest = nullptr;
    for (std::map<ClassRank, ClassQueue>::const_reverse_iterator queue = classes_.rbegin(); queue != classes_.rend();
         ++queue) {
        if (queue->second.byArrival.empty()) {
            continue;
        }
        if (newest != nullptr && queue->first.tier < newest->tier) {
            break;
        }
        const WaitingRequest *last = newestOf(queue->first);
        newest = newest == nullptr || last->sequence > newest->sequence ? last : newest;
    }
    return newest;
}

std::vector<RequestId> WaitingQueue::expired(TimePoint now) const
{
    std::vector<RequestId> found;
    for (const auto &[key, id] : deadlines_) {
        if (key.first > now) {
            break;
        }
        found.push_back(id);
    }
    return found;
}

const WaitingQueue::TeamQueue *WaitingQueue::teamQueue(const ClassRank &rank, const TeamName &team) const
{
    const std::map<ClassRank, ClassQueue>::const_iterator queue = classes_.find(rank);
    if (queue == classes_.end()) {
        return nullptr;
    }
    const std::map<TeamName, TeamQueue>::const_iterator found = queue->second.teams.find(team);
    return found == queue->second.teams.end() || found->second.requests.empty() ? nullptr : &found->second;
}

std::vector<TeamName> WaitingQueue::teamsOf(const ClassRank &rank) const
{
    std::vector<TeamName> teams;
    const std::map<ClassRank, ClassQueue>::const_iterator queue = classes_.find(rank);
    if (queue == classes_.end()) {
        return teams;
    }
    for (const auto &[startTag, team] : queue->second.active) {
        teams.push_back(team);
    }
    std::sort(teams.begin(), teams.end());
    return teams;
}

const WaitingRequest *WaitingQueue::lastOf(const ClassRank &rank, const TeamName &team) const
{
    const TeamQueue *queue = teamQueue(rank, team);
    return queue == nullptr ? nullptr : find(queue->requests.rbegin()->second);
}

std::size_t WaitingQueue::expectedAhead(const ClassRank &rank, const TeamName &team) const
{
    const TeamQueue *queue = teamQueue(rank, team);
    if (queue == nullptr) {
        return 0;
    }
    const ClassQueue &all = classes_.at(rank);
    const std::size_t byShare = queue->requests.size() * all.activeWeight / queue->weight;
    return std::min(byShare, all.byArrival.size()) - 1;
}

std::vector<RequestId> WaitingQueue::requestsFrom(const NodeName &node) const
{
    std::vector<RequestId> found;
    for (const auto &[sequence, id] : arrivals_) {
        if (requests_.at(id).from == node) {
            found.push_back(id);
        }
    }
    return found;
}

std::vector<RequestId> WaitingQueue::requestsByArrival() const
{
    std::vector<RequestId> found;
    found.reserve(arrivals_.size());
    for (const auto &[sequence, id] : arrivals_) {
        found.push_back(id);
    }
    return found;
}

} // namespace GeraniumLever
