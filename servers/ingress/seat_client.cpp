#include "servers/ingress/seat_client.h"

#include <functional>
#include <memory>
#include <utility>

#include "servers/ingress/seat_messages.h"
#include "servers/scheduling/scheduling.h"

namespace GeraniumLever {

SeatClient::SeatClient(RequestTable &requests, const MembershipSystem &membership)
    : requests_(requests), membership_(membership), catalog_(std::make_shared<const Catalog>())
{
}

void SeatClient::applyCatalog(CatalogPtr catalog)
{
    catalog_ = std::move(catalog);
}

bool SeatClient::enqueue(RequestRow &row, TimePoint now, Commands &commands)
{
    const std::vector<ShardKey> shards = shardsOf(*catalog_, membership_.self().dataCenter, row.pool);
    row.phase = RequestPhase::WaitingForSeat;
    row.waitingSince = now;
    if (shards.empty()) {
        return false;
    }
    // Requests with the same prompt prefix go to the same shard, whose engines may have it cached.
    const std::uint64_t affinity =
        row.prefixHashes.empty() ? std::hash<TeamName>()(row.team) : row.prefixHashes.front();
    row.shard = shards[affinity % shards.size()];
    row.scheduler = schedulerOf(row.shard);
    commands.emplace_back(PeerSend { row.scheduler, makeSlotRequest(row, row.deadline - now) });
    return true;
}

void SeatClient::cancel(const RequestRow &row, Commands &commands)
{
    commands.emplace_back(makeCancel(row));
}

bool SeatClient::expects(const RequestRow &row, const NodeName &from) const
{
    return row.phase == RequestPhase::WaitingForSeat && row.scheduler == from;
}

void SeatClient::accept(RequestRow &row, const NodeName &from, const SlotGrant &grant)
{
    RunningAttempt attempt;
    attempt.attempt = grant.attempt;
    attempt.upstream = grant.upstream;
    attempt.shard = grant.shard;
    attempt.trackingNodes = { from };
    requests_.setAttempt(row, std::move(attempt));
}

void SeatClient::decline(const NodeName &from, const SlotGrant &grant, Commands &commands)
{
    AttemptEnd end;
    end.attempt = grant.attempt;
    end.request = grant.request;
    end.shard = grant.shard;
    end.upstream = grant.upstream;
    end.ending = AttemptEnding::NotSent;
    commands.emplace_back(PeerSend { from, end });
}

void SeatClient::end(RequestRow &row, AttemptEnding ending, std::uint32_t wastedTokens, Commands &commands)
{
    if (row.running.attempt.empty()) {
        return;
    }
    for (const NodeName &node : row.running.trackingNodes) {
        commands.emplace_back(PeerSend { node, makeEnd(row, ending, wastedTokens) });
    }
    requests_.setAttempt(row, RunningAttempt {});
}

void SeatClient::release(RequestRow &row, AttemptEnding ending, Commands &commands)
{
    for (const NodeName &node : row.running.trackingNodes) {
        commands.emplace_back(PeerSend { node, makeEnd(row, ending, 0) });
    }
    row.running.trackingNodes.clear();
}

void SeatClient::restore(RequestRow &row, TimePoint now, Commands &commands)
{
    cancel(row, commands);
    const NodeName scheduler = schedulerOf(row.running.shard);
    row.running.trackingNodes = { scheduler };
    commands.emplace_back(PeerSend { scheduler, makeRegistration(row, now) });
}

void SeatClient::reportProgress(const RequestRow &row, Commands &commands)
{
    for (const NodeName &node : row.running.trackingNodes) {
        commands.emplace_back(PeerSend { node, makeProgress(row) });
    }
}

void SeatClient::handleSchedulerChange(const std::vector<NodeName> &lost, TimePoint now, Commands &commands)
{
    for (auto &[id, row] : requests_) {
        for (const NodeName &node : lost) {
            row.running.trackingNodes.erase(node);
        }
        if (row.phase == RequestPhase::WaitingForSeat && schedulerOf(row.shard) != row.scheduler) {
            cancel(row, commands);
            enqueue(row, now, commands);
            continue;
        }
        const bool holdsSeat = !row.running.upstream.empty();
        if (!holdsSeat) {
            continue;
        }
        const NodeName scheduler = schedulerOf(row.running.shard);
        if (row.running.trackingNodes.insert(scheduler).second) {
            commands.emplace_back(PeerSend { scheduler, makeRegistration(row, now) });
        }
    }
}

NodeName SeatClient::schedulerOf(const ShardKey &shard) const
{
    return membership_.schedulerFor(shard).value_or(membership_.self().node);
}

} // namespace GeraniumLever
