#include "development/bench/baseline_policy.h"

#include <algorithm>

#include "servers/scheduling/scheduling.h"

namespace GeraniumLever {

namespace {

bool excluded(const SlotRequest &request, const UpstreamName &upstream)
{
    return std::find(request.excluded.begin(), request.excluded.end(), upstream) != request.excluded.end();
}

} // namespace

void BaselinePolicy::applyCatalog(const CatalogPtr &catalog, TimePoint)
{
    catalog_ = catalog;
}

void BaselinePolicy::slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands)
{
    const std::uint32_t tier = rules_.byTier ? catalog_->classes().find(request.requestClass)->tier : 0;
    const Place place { tier, ++arrivals_ };
    queue_.emplace(place, Waiting { request, from, now + request.timeLeft });
    places_[request.request] = place;
    schedule(commands);
}

void BaselinePolicy::slotCancelled(const NodeName &, const SlotCancel &cancel, TimePoint, Commands &)
{
    const std::unordered_map<RequestId, Place>::iterator place = places_.find(cancel.request);
    if (place == places_.end()) {
        return;
    }
    queue_.erase(place->second);
    places_.erase(place);
}

void BaselinePolicy::attemptProgressed(const NodeName &, const AttemptProgress &, TimePoint) { }

void BaselinePolicy::attemptEnded(const NodeName &, const AttemptEnd &end, TimePoint, Commands &commands)
{
    release(end.attempt);
    schedule(commands);
}

void BaselinePolicy::attemptRegistered(const NodeName &, const AttemptRegistration &registration, TimePoint)
{
    running_[registration.attempt] = registration.upstream;
    ++inFlight_[registration.upstream];
}

void BaselinePolicy::loadReported(const LoadReport &, TimePoint) { }

void BaselinePolicy::cacheChanged(const CacheEvent &, TimePoint) { }

void BaselinePolicy::nodeLost(const NodeName &node, TimePoint, Commands &)
{
    std::erase_if(queue_, [&node](const std::pair<const Place, Waiting> &entry) { return entry.second.from == node; });
}

void BaselinePolicy::tick(TimePoint now, Commands &commands)
{
    for (std::map<Place, Waiting>::iterator entry = queue_.begin(); entry != queue_.end();) {
        const Waiting &waiting = entry->second;
        if (waiting.deadline > now) {
            ++entry;
            continue;
        }
        commands.push_back(PeerSend { waiting.from,
                                      SlotRefusal { waiting.request.request,
                                                    waiting.request.shard,
                                                    ResultCode::DeadlineUnreachable,
                                                    std::chrono::seconds(1) } });
        places_.erase(waiting.request.request);
        entry = queue_.erase(entry);
    }
    schedule(commands);
}

const Upstream *BaselinePolicy::nextInTurn(const SlotRequest &request)
{
    const std::vector<UpstreamName> members = upstreamsOf(*catalog_, request.shard);
    for (std::size_t tried = 0; tried < members.size(); ++tried) {
        const UpstreamName &name = members[turns_[request.shard]++ % members.size()];
        if (!excluded(request, name)) {
            return catalog_->upstreams().find(name);
        }
    }
    return nullptr;
}

const Upstream *BaselinePolicy::choose(const SlotRequest &request)
{
    if (rules_.inTurn) {
        return nextInTurn(request);
    }
    const Upstream *best = nullptr;
    for (const UpstreamName &name : upstreamsOf(*catalog_, request.shard)) {
        const Upstream *upstream = catalog_->upstreams().find(name);
        if (excluded(request, name) || inFlight_[name] >= upstream->seats) {
            continue;
        }
        if (best == nullptr || inFlight_[name] < inFlight_[best->name]) {
            best = upstream;
        }
    }
    return best;
}

void BaselinePolicy::schedule(Commands &commands)
{
    std::set<ShardKey> full;
    for (std::map<Place, Waiting>::iterator entry = queue_.begin(); entry != queue_.end();) {
        const SlotRequest &request = entry->second.request;
        const Upstream *upstream = full.count(request.shard) > 0 ? nullptr : choose(request);
        if (upstream == nullptr) {
            full.insert(request.shard);
            if (full.size() >= shardsOf(*catalog_, request.shard.dataCenter, request.shard.pool).size()) {
                return;
            }
            ++entry;
            continue;
        }
        const AttemptId attempt(origin_, ++attempts_);
        running_[attempt] = upstream->name;
        ++inFlight_[upstream->name];
        commands.push_back(
            PeerSend { entry->second.from, SlotGrant { request.request, attempt, upstream->name, request.shard } });
        places_.erase(request.request);
        entry = queue_.erase(entry);
    }
}

void BaselinePolicy::release(const AttemptId &attempt)
{
    const std::unordered_map<AttemptId, UpstreamName>::iterator found = running_.find(attempt);
    if (found == running_.end()) {
        return;
    }
    --inFlight_[found->second];
    running_.erase(found);
}

} // namespace GeraniumLever
