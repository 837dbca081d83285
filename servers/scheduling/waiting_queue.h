/**
 * Requests of one shard that wait for a seat: classes in tier order, start-time fair queuing among the teams of a
 * class, earliest deadline first within a team.
 */
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "servers/scheduling/waiting_request.h"

namespace GeraniumLever {

/** Identifies the waiting requests of one class in one service group. Ranks sort by the order of service. */
struct ClassRank
{
    std::uint32_t tier = 0;
    ServiceGroup group = ServiceGroup::OnTime;
    ClassName name;

    auto operator<=>(const ClassRank &) const = default;
};

/** Adding and removing a request take time logarithmic in the length of the queue. */
class WaitingQueue
{
public:
    /** Adds a request. It replaces a waiting one with the same identifier and keeps its place in arrival order. */
    void push(WaitingRequest waiting);

    /** The request, or nullptr. The pointer is valid until the queue changes. */
    const WaitingRequest *find(RequestId request) const;

    /** Removes a request without charging its team; false if it is not in the queue. */
    bool erase(RequestId request);

    /** Removes a request that gets a seat, and advances its team's start tag by cost / weight. The request must be in
     * the queue. */
    WaitingRequest dequeue(RequestId request, double cost, std::uint32_t weight);

    /** Moves requests that are no longer on time to the late group. */
    void demoteLate(TimePoint now);

    /** Ranks with waiting requests, in the order of service (highest tier first). */
    std::vector<ClassRank> ranks() const;

    /** Up to limit requests of a class: first the next one of each team in the order of service, then the teams'
     * further ones. */
    std::vector<RequestId> candidates(const ClassRank &rank, std::size_t limit) const;

    /** Number of waiting requests of a class in one service group. */
    std::size_t sizeOf(const ClassRank &rank) const;

    /** Number of waiting requests of a class in all service groups. */
    std::size_t sizeOfClass(std::uint32_t tier, const ClassName &name) const;

    /** The request of a class that arrived last, or nullptr. */
    const WaitingRequest *newestOf(const ClassRank &rank) const;

    /** The request of a class that arrived first, or nullptr. */
    const WaitingRequest *oldestOf(const ClassRank &rank) const;

    /** The newest request of the lowest tier, or nullptr. */
    const WaitingRequest *newestOfLowestTier() const;

    /** Requests whose deadline is not after now, earliest first. */
    std::vector<RequestId> expired(TimePoint now) const;

    /** Teams with waiting requests of a class, in name order. */
    std::vector<TeamName> teamsOf(const ClassRank &rank) const;

    /** The team's request of a class that is served last, or nullptr. */
    const WaitingRequest *lastOf(const ClassRank &rank, const TeamName &team) const;

    /** Number of the rank's requests that fair queuing is expected to serve before the team's last one; 0 if the team
     * has none. */
    std::size_t expectedAhead(const ClassRank &rank, const TeamName &team) const;

    /** Requests sent by an ingress node, in order of arrival. */
    std::vector<RequestId> requestsFrom(const NodeName &node) const;

    /** All waiting requests, in order of arrival. */
    std::vector<RequestId> requestsByArrival() const;

    std::size_t size() const { return requests_.size(); }
    bool empty() const { return requests_.empty(); }

private:
    /** A time and the request's sequence number. */
    using DeadlineKey = std::pair<TimePoint, std::uint64_t>;

    struct TeamQueue
    {
        /** Start tag of the team's next request, in the virtual time of the class. */
        double startTag = 0.0;
        std::uint32_t weight = 1;
        std::map<DeadlineKey, RequestId> requests;
    };

    struct ClassQueue
    {
        /** Largest start tag of the requests served so far. */
        double virtualTime = 0.0;
        std::map<TeamName, TeamQueue> teams;
        /** Teams with waiting requests, by start tag. */
        std::set<std::pair<double, TeamName>> active;
        std::map<std::uint64_t, RequestId> byArrival;
        /** Sum of the weights of the active teams. */
        std::uint64_t activeWeight = 0;
    };

    const TeamQueue *teamQueue(const ClassRank &rank, const TeamName &team) const;
    static ClassRank rankOf(const WaitingRequest &waiting);
    /** Removes a request from everything but requests_. */
    void removeFromIndexes(const WaitingRequest &waiting);
    /** Advances the start tag of the request's team by cost / weight. */
    void charge(const WaitingRequest &waiting, double cost, std::uint32_t weight);
    static void removeIdleTeams(ClassQueue &queue);

    std::unordered_map<RequestId, WaitingRequest> requests_;
    std::map<ClassRank, ClassQueue> classes_;
    std::map<DeadlineKey, RequestId> deadlines_;
    /** Requests that are on time, by the time at which they become late. */
    std::map<DeadlineKey, RequestId> onTimeLimits_;
    /** All requests by sequence number. */
    std::map<std::uint64_t, RequestId> arrivals_;
};

} // namespace GeraniumLever
