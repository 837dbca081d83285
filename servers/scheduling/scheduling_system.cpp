#include "servers/scheduling/scheduling_system.h"

#include <map>
#include <set>

#include "servers/scheduling/decision_record.h"
#include "servers/scheduling/shard_map.h"
#include "servers/scheduling/shard_scheduler.h"

namespace GeraniumLever {

struct SchedulingSystem::State
{
    State(NodeName name, std::uint64_t origin, std::uint64_t seed) : self(std::move(name)), issuer(origin, seed) { }

    /** The shard's scheduler, created if need be; nullptr if the catalog has no such shard. */
    ShardScheduler *ensure(const ShardKey &shard);

    /** The shard's scheduler, or nullptr. */
    ShardScheduler *find(const ShardKey &shard);

    /** The scheduler of the shard that has the upstream, or nullptr. */
    ShardScheduler *findByUpstream(const UpstreamName &upstream);

    void rebuildShardIndex();

    NodeName self;
    AttemptIssuer issuer;
    CatalogPtr catalog = std::make_shared<const Catalog>();
    /** Shards for which this node has been asked for a seat, told of an attempt, or sent a load report. */
    std::map<ShardKey, std::unique_ptr<ShardScheduler>> shards;
    std::unordered_map<UpstreamName, ShardKey> shardByUpstream;
    std::set<UpstreamName> leaving;
    std::set<UpstreamName> held;
    std::map<UpstreamName, TimePoint> awaitedUntil;
    double seatShare = 1.0;
};

ShardScheduler *SchedulingSystem::State::ensure(const ShardKey &shard)
{
    if (ShardScheduler *known = find(shard); known != nullptr) {
        return known;
    }
    const std::vector<UpstreamName> members = upstreamsOf(*catalog, shard);
    if (members.empty()) {
        return nullptr;
    }
    std::unique_ptr<ShardScheduler> created = std::make_unique<ShardScheduler>(shard, issuer);
    created->applyCatalog(catalog);
    created->setSeatShare(seatShare);
    for (const UpstreamName &upstream : members) {
        created->setLeaving(upstream, leaving.count(upstream) > 0);
        created->setHeld(upstream, held.count(upstream) > 0);
        const std::map<UpstreamName, TimePoint>::const_iterator awaited = awaitedUntil.find(upstream);
        if (awaited != awaitedUntil.end()) {
            created->withholdGrantsUntilReport(upstream, awaited->second);
        }
    }
    return shards.emplace(shard, std::move(created)).first->second.get();
}

ShardScheduler *SchedulingSystem::State::find(const ShardKey &shard)
{
    const std::map<ShardKey, std::unique_ptr<ShardScheduler>>::iterator found = shards.find(shard);
    return found == shards.end() ? nullptr : found->second.get();
}

ShardScheduler *SchedulingSystem::State::findByUpstream(const UpstreamName &upstream)
{
    const std::unordered_map<UpstreamName, ShardKey>::const_iterator found = shardByUpstream.find(upstream);
    return found == shardByUpstream.end() ? nullptr : find(found->second);
}

void SchedulingSystem::State::rebuildShardIndex()
{
    shardByUpstream.clear();
    std::set<std::pair<DataCenterName, PoolName>> places;
    for (const auto &[name, upstream] : catalog->upstreams()) {
        places.emplace(upstream.dataCenter, upstream.pool);
    }
    for (const auto &[dataCenter, pool] : places) {
        for (const ShardKey &shard : shardsOf(*catalog, dataCenter, pool)) {
            for (const UpstreamName &upstream : upstreamsOf(*catalog, shard)) {
                shardByUpstream.emplace(upstream, shard);
            }
        }
    }
}

SchedulingSystem::SchedulingSystem(NodeName self, std::uint64_t origin, std::uint64_t seed)
    : state_(std::make_unique<State>(std::move(self), origin, seed))
{
}

SchedulingSystem::~SchedulingSystem() = default;

void SchedulingSystem::applyCatalog(const CatalogPtr &catalog, TimePoint)
{
    state_->catalog = catalog;
    state_->rebuildShardIndex();
    const auto gone = [&catalog](const UpstreamName &upstream) { return !catalog->upstreams().contains(upstream); };
    std::erase_if(state_->leaving, gone);
    std::erase_if(state_->held, gone);
    for (const auto &[shard, scheduler] : state_->shards) {
        scheduler->applyCatalog(catalog);
    }
}

void SchedulingSystem::slotRequested(const NodeName &from,
                                     const SlotRequest &request,
                                     TimePoint now,
                                     Commands &commands)
{
    if (ShardScheduler *scheduler = state_->ensure(request.shard); scheduler != nullptr) {
        scheduler->slotRequested(from, request, now, commands);
        return;
    }
    commands.push_back(
        PeerSend { from, SlotRefusal { request.request, request.shard, ResultCode::NoUpstream, Duration(0) } });
    commands.push_back(refusalDecision(request, 0, Duration(0), ResultCode::NoUpstream, Duration(0)));
}

void SchedulingSystem::slotCancelled(const NodeName &, const SlotCancel &cancel, TimePoint now, Commands &commands)
{
    if (ShardScheduler *scheduler = state_->find(cancel.shard); scheduler != nullptr) {
        scheduler->slotCancelled(cancel, now, commands);
    }
}

void SchedulingSystem::attemptProgressed(const NodeName &, const AttemptProgress &progress, TimePoint now)
{
    if (ShardScheduler *scheduler = state_->find(progress.shard); scheduler != nullptr) {
        scheduler->attemptProgressed(progress, now);
    }
}

void SchedulingSystem::attemptEnded(const NodeName &, const AttemptEnd &end, TimePoint now, Commands &commands)
{
    if (ShardScheduler *scheduler = state_->find(end.shard); scheduler != nullptr) {
        scheduler->attemptEnded(end, now, commands);
    }
}

void SchedulingSystem::attemptRegistered(const NodeName &from, const AttemptRegistration &registration, TimePoint now)
{
    if (ShardScheduler *scheduler = state_->ensure(registration.shard); scheduler != nullptr) {
        scheduler->attemptRegistered(from, registration, now);
    }
}

void SchedulingSystem::loadReported(const LoadReport &report, TimePoint now)
{
    const std::unordered_map<UpstreamName, ShardKey>::const_iterator found =
        state_->shardByUpstream.find(report.upstream);
    if (found == state_->shardByUpstream.end()) {
        return;
    }
    if (report.leaving) {
        state_->leaving.insert(report.upstream);
    }
    state_->awaitedUntil.erase(report.upstream);
    state_->ensure(found->second)->loadReported(report, now);
}

void SchedulingSystem::cacheChanged(const CacheEvent &event, TimePoint)
{
    if (ShardScheduler *scheduler = state_->findByUpstream(event.upstream); scheduler != nullptr) {
        scheduler->cacheChanged(event);
    }
}

void SchedulingSystem::upstreamLeaving(const UpstreamName &upstream, bool leaving, TimePoint)
{
    if (leaving) {
        state_->leaving.insert(upstream);
    } else {
        state_->leaving.erase(upstream);
    }
    if (ShardScheduler *scheduler = state_->findByUpstream(upstream); scheduler != nullptr) {
        scheduler->setLeaving(upstream, leaving);
    }
}

void SchedulingSystem::upstreamHeld(const UpstreamName &upstream, bool held, TimePoint)
{
    if (held) {
        state_->held.insert(upstream);
    } else {
        state_->held.erase(upstream);
    }
    if (ShardScheduler *scheduler = state_->findByUpstream(upstream); scheduler != nullptr) {
        scheduler->setHeld(upstream, held);
    }
}

void SchedulingSystem::withholdGrantsUntilReport(const UpstreamName &upstream, TimePoint until)
{
    state_->awaitedUntil[upstream] = until;
    if (ShardScheduler *scheduler = state_->findByUpstream(upstream); scheduler != nullptr) {
        scheduler->withholdGrantsUntilReport(upstream, until);
    }
}

void SchedulingSystem::nodeLost(const NodeName &node, TimePoint now, Commands &commands)
{
    for (const auto &[shard, scheduler] : state_->shards) {
        scheduler->nodeLost(node, now, commands);
    }
}

void SchedulingSystem::setSeatShare(double share)
{
    state_->seatShare = share;
    for (const auto &[shard, scheduler] : state_->shards) {
        scheduler->setSeatShare(share);
    }
}

void SchedulingSystem::tick(TimePoint now, Commands &commands)
{
    for (std::map<ShardKey, std::unique_ptr<ShardScheduler>>::iterator entry = state_->shards.begin();
         entry != state_->shards.end();) {
        if (!entry->second->gone()) {
            entry->second->tick(now, commands);
            ++entry;
            continue;
        }
        entry->second->close(now, commands);
        entry = state_->shards.erase(entry);
    }
}

std::vector<PoolSummary> SchedulingSystem::summaries(TimePoint now) const
{
    std::map<PoolName, PoolSummary> pools;
    for (const auto &[shard, scheduler] : state_->shards) {
        PoolSummary &summary = pools[shard.pool];
        summary.pool = shard.pool;
        scheduler->addTo(summary, now);
    }
    std::vector<PoolSummary> summaries;
    summaries.reserve(pools.size());
    for (const auto &[name, summary] : pools) {
        summaries.push_back(summary);
    }
    return summaries;
}

std::uint32_t SchedulingSystem::inFlightAt(const UpstreamName &upstream) const
{
    const ShardScheduler *scheduler = state_->findByUpstream(upstream);
    return scheduler == nullptr ? 0 : scheduler->inFlightAt(upstream);
}

} // namespace GeraniumLever
