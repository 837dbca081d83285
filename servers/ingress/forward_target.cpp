#include "servers/ingress/forward_target.h"

#include <algorithm>
#include <map>
#include <vector>

namespace GeraniumLever {

namespace {

/** Expected wait for a tier by one scheduler's summary; nothing if it has no seats at all. */
std::optional<Duration> expectedWait(const PoolSummary &summary, std::uint32_t tier)
{
    if (summary.totalSeats == 0) {
        return std::nullopt;
    }
    if (summary.waitByTier.empty()) {
        return summary.freeSeats > 0 ? std::optional<Duration>(Duration(0)) : std::nullopt;
    }
    const std::size_t index = std::min<std::size_t>(tier, summary.waitByTier.size() - 1);
    return summary.waitByTier[index];
}

/** The shortest expected wait in each other data centre. */
std::map<DataCenterName, Duration> waitsByDataCenter(const MembershipSystem &membership,
                                                     const PoolName &pool,
                                                     std::uint32_t tier)
{
    std::map<DataCenterName, Duration> waits;
    for (const auto &[name, peer] : membership.peers()) {
        const bool usable = peer.alive && peer.heartbeat && peer.heartbeat->dataCenter != membership.self().dataCenter;
        if (!usable) {
            continue;
        }
        for (const PoolSummary &summary : peer.heartbeat->pools) {
            const std::optional<Duration> wait = summary.pool == pool ? expectedWait(summary, tier) : std::nullopt;
            if (!wait) {
                continue;
            }
            const auto [entry, inserted] = waits.emplace(peer.heartbeat->dataCenter, *wait);
            entry->second = std::min(entry->second, *wait);
        }
    }
    return waits;
}

} // namespace

std::optional<NodeAddress> chooseSpillTarget(const MembershipSystem &membership,
                                             const PoolName &pool,
                                             std::uint32_t tier,
                                             Duration timeLeft,
                                             std::uint64_t spread)
{
    const std::map<DataCenterName, Duration> waits = waitsByDataCenter(membership, pool, tier);
    std::optional<DataCenterName> best;
    for (const auto &[dataCenter, wait] : waits) {
        if (wait < timeLeft && (!best || wait < waits.at(*best))) {
            best = dataCenter;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    std::vector<NodeAddress> nodes;
    for (const NodeName &name : membership.readyNodes(*best)) {
        const Peer *peer = membership.peers().find(name);
        if (peer != nullptr && !peer->address.callerAddress.empty()) {
            nodes.push_back(peer->address);
        }
    }
    if (nodes.empty()) {
        return std::nullopt;
    }
    return nodes[spread % nodes.size()];
}

} // namespace GeraniumLever
