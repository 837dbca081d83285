#include "servers/relay/relay_placement.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** Factor by which an engine's cost may exceed the mean before prefix affinity no longer holds. */
constexpr double AffinityBound = 1.3;
/** Requests above the mean that prefix affinity always allows, so that it also holds at low load. */
constexpr double AffinitySlack = 2.0;
/** Share of its seats up to which an engine counts as idle, so that prefix affinity alone decides. */
constexpr double IdleSeatShare = 0.25;
/** A request that prefers to wait for an engine with its prefix cached goes to another engine only if that one's cost
 *  is below SpareSeatShare of its seats or below the mean cost. The mean does not count if it exceeds CrowdedSeatShare
 *  of the seats. So the prefix is prefilled again only where no requests have to wait for it. */
constexpr double SpareSeatShare = 0.5;
constexpr double CrowdedSeatShare = 0.75;
/** Factor on the seats up to which such requests are sent to the engine that has their prefix cached. */
constexpr double CachedSeatOversubscription = 1.1;
/** Estimated probability that the first engines in the order of a shared prefix have it cached. */
constexpr double CachedProbability[] = { 1.0, 0.4, 0.2, 0.1 };
/** Number of shared tokens from which a request prefers to wait for an engine that has probably cached them: prefilling
 *  them again would delay everything queued behind it. */
constexpr std::uint32_t MinTokensWorthWaiting = 1000;
/** Share of the first-answer target that may be spent on prefilling the prompts ahead of this one. */
constexpr double PrefillShareOfTarget = 0.6;
/** Lower bound of the prompt tokens that an engine prefills per millisecond. */
constexpr double PrefillTokensPerMillisecond = 100.0;
/** Factor on the seats up to which requests are sent, since load information lags behind the actual load. */
constexpr double SeatOversubscription = 1.2;
/** Usable share of an engine's KV cache; the rest is reserved for growing answers and for outdated load information. */
constexpr double UsableTokenShare = 0.8;
/** Number of requests by which an upstream in another data centre must be less loaded to be preferred. */
constexpr double RemotePenalty = 0.5;
/** Requests added to the cost of an upstream whose recent attempts all failed. */
constexpr double FailurePenalty = 8.0;

/** Minimum number of nodes among which an upstream's connections are divided, and the margin on the number of known
 *  nodes. */
constexpr double MinSharingNodes = 12.0;
constexpr double SharingMargin = 1.3;
constexpr std::uint32_t MinConnections = 2;

/** This node's share of the connections that one upstream accepts; maxConnections: 0 stands for no limit. */
std::uint32_t connectionShare(std::uint32_t maxConnections, const std::optional<std::size_t> &nodes)
{
    if (maxConnections == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const double partitioner = std::max(MinSharingNodes, SharingMargin * static_cast<double>(nodes.value_or(0)));
    return std::max(MinConnections, static_cast<std::uint32_t>(maxConnections / partitioner));
}

/** Requests added to the cost of an engine whose token gaps are as long as the request's target. */
constexpr double TokenGapPenalty = 10.0;

std::uint64_t rendezvousScore(std::uint64_t key, const UpstreamName &upstream)
{
    return XXH64(upstream.text().data(), upstream.text().size(), key);
}

std::uint32_t upstreamHash(const UpstreamName &upstream)
{
    return XXH32(upstream.text().data(), upstream.text().size(), 0);
}

/** Hash of the prompt prefix that is shared with other requests; 0 if there is none. */
std::uint64_t sharedPrefixKey(const PromptInfo &prompt)
{
    if (prompt.parts.size() < 2) {
        return 0;
    }
    return prompt.parts[prompt.parts.size() - 2].id;
}

/** Number of tokens in the shared prefix. */
std::uint32_t sharedPrefixTokens(const PromptInfo &prompt)
{
    std::uint32_t tokens = 0;
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index) {
        tokens += prompt.parts[index].tokens;
    }
    return tokens;
}

/** True if the request should rather wait for an engine that has probably cached its prefix than go to any other. */
bool prefersWaiting(const PlacementQuery &query)
{
    return query.engine && query.sharesPrefixes && sharedPrefixTokens(query.prompt) >= MinTokensWorthWaiting;
}

} // namespace

struct RelayPlacement::Candidate
{
    const UpstreamEntry *entry = nullptr;
    double load = 0.0;
    /** Load plus penalties. */
    double cost = 0.0;
    /** Prompt tokens of other requests that it has yet to prefill. */
    double backlog = 0.0;
    /** Prompt tokens of this request that it would have to prefill. */
    double unreadTokens = 0.0;
    /** Rendezvous hash score for the prompt's shared prefix; 0 if there is none. */
    std::uint64_t score = 0;
    std::size_t rank = 0;
    bool isSuspect = false;
    /** False if its software version must not serve the request, or the request may go to no further upstream. */
    bool isAllowed = true;
    bool isSilent = false;
    bool hasResponded = false;
    bool hasRoom = true;
    /** False if the free seats are reserved for other nodes. */
    bool mayTakeSeat = true;
    /** True if it limits its requests and this node may send one now. */
    bool isLimited = false;
};

void RelayPlacement::applyChanges(const UpstreamDirectory &directory, const DirectoryChanges &changes)
{
    for (const UpstreamName &name : changes.restarted) {
        loads_.erase(name);
    }
    std::erase_if(loads_, [&directory](const auto &entry) {
        return entry.second.ownRequests() == 0 && !directory.entries().contains(entry.first);
    });
}

std::vector<RelayPlacement::Candidate> RelayPlacement::candidates(const UpstreamDirectory &directory,
                                                                  const PlacementQuery &query,
                                                                  TimePoint now) const
{
    std::vector<Candidate> result;
    bool anyHealthy = false;
    const std::uint32_t connections = connectionShare(query.maxConnections, peers_.nodeCount());
    const PoolNote *requiredNote = this->requiredNote(directory, query);
    for (const auto &[name, entry] : directory.entries()) {
        if (!notices_.acceptsRequests(entry) || entry.pool != query.pool || query.excluded.count(name) > 0) {
            continue;
        }
        if (now < notices_.pausedUntil(entry)) {
            continue;
        }
        Candidate candidate;
        candidate.entry = &entry;
        candidate.isLimited = limits_.isLimited(name);
        if (candidate.isLimited && limits_.permits(name, now).count == 0) {
            continue;
        }
        candidate.isAllowed = query.allows(name) && query.accepts(entry.version)
            && (requiredNote == nullptr || servesVersion(*requiredNote, entry.version));
        const UpstreamLoad *upstreamLoad = find(name);
        candidate.load = upstreamLoad == nullptr ? 0.0 : upstreamLoad->requests(now);
        if (upstreamLoad != nullptr) {
            candidate.isSuspect = upstreamLoad->isSuspect(now) || upstreamLoad->isFull(now);
        }
        if (query.maxSilence.has_value() && upstreamLoad != nullptr) {
            candidate.isSilent = upstreamLoad->silence(now) > *query.maxSilence;
            candidate.hasResponded = !candidate.isSilent && upstreamLoad->hasResponded(*query.maxSilence, now);
        }
        candidate.cost = candidate.load;
        if (upstreamLoad != nullptr) {
            candidate.cost += upstreamLoad->failureShare() * FailurePenalty;
            if (query.engine) {
                const double gapRatio =
                    std::chrono::duration<double>(upstreamLoad->tokenGap(now)) / query.tokenGapTarget;
                candidate.cost += gapRatio * TokenGapPenalty;
                candidate.backlog = upstreamLoad->unreadTokens(now);
                candidate.mayTakeSeat = upstreamLoad->mayTakeSeat(now);
            }
        }
        candidate.cost += entry.dataCenter == dataCenter_ || query.engine ? 0.0 : RemotePenalty;
        candidate.hasRoom = upstreamLoad == nullptr || upstreamLoad->ownRequests() < connections;
        const double tokens = upstreamLoad == nullptr ? 0.0 : upstreamLoad->tokens(now);
        const double limit = static_cast<double>(query.kvCacheTokens) * UsableTokenShare;
        if (limit > 0.0 && tokens > 0.0 && tokens + static_cast<double>(query.prompt.promptTokens) > limit) {
            candidate.hasRoom = false;
        }
        if (candidate.load >= static_cast<double>(entry.seats) * SeatOversubscription) {
            candidate.hasRoom = false;
        }
        anyHealthy = anyHealthy || (candidate.isAllowed && !candidate.isSuspect);
        result.push_back(candidate);
    }
    if (query.maxSilence.has_value()) {
        keepResponding(result, query.commonSilence);
    } else if (anyHealthy) {
        std::erase_if(result, [](const Candidate &candidate) { return candidate.isSuspect; });
    }
    return result;
}

void RelayPlacement::keepResponding(std::vector<Candidate> &candidates, CommonSilence commonSilence)
{
    const auto responded = std::count_if(
        candidates.begin(), candidates.end(), [](const Candidate &candidate) { return candidate.hasResponded; });
    const auto silent = std::count_if(
        candidates.begin(), candidates.end(), [](const Candidate &candidate) { return candidate.isSilent; });
    const bool isOfAll = silent > 0 && responded == 0;
    const bool isOfMost = silent > 0 && responded <= silent;
    if (commonSilence == CommonSilence::OfMost ? isOfMost : commonSilence == CommonSilence::OfAll && isOfAll) {
        candidates.clear();
        return;
    }
    std::erase_if(candidates, [](const Candidate &candidate) { return candidate.isSuspect || candidate.isSilent; });
    const bool canUseResponding = std::any_of(candidates.begin(), candidates.end(), [](const Candidate &candidate) {
        return candidate.hasResponded && candidate.isAllowed && candidate.hasRoom;
    });
    if (canUseResponding) {
        std::erase_if(candidates, [](const Candidate &candidate) { return !candidate.hasResponded; });
    }
}

const PoolNote *RelayPlacement::requiredNote(const UpstreamDirectory &directory, const PlacementQuery &query) const
{
    const PoolNote *note = query.needsNotedVersion ? versionNotes_.find(query.pool) : nullptr;
    // An upstream whose version could not be noted yet is better than none.
    const bool hasNoted =
        note != nullptr && std::any_of(directory.entries().begin(), directory.entries().end(), [&](const auto &item) {
            const auto &[name, entry] = item;
            return mayServe(entry, query) && query.excluded.count(name) == 0 && servesVersion(*note, entry.version);
        });
    return hasNoted ? note : nullptr;
}

bool RelayPlacement::hasUpstream(const UpstreamDirectory &directory, const PlacementQuery &query) const
{
    return std::any_of(directory.entries().begin(), directory.entries().end(), [&](const auto &item) {
        const auto &[name, entry] = item;
        return mayServe(entry, query) && query.excluded.count(name) == 0 && query.allows(name);
    });
}

std::optional<TimePoint> RelayPlacement::pausedUntil(const UpstreamDirectory &directory,
                                                     const PlacementQuery &query,
                                                     TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const auto &[name, entry] : directory.entries()) {
        if (!mayServe(entry, query)) {
            continue;
        }
        const TimePoint until = notices_.pausedUntil(entry);
        if (now >= until) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(until), until);
    }
    return earliest;
}

bool RelayPlacement::mayServe(const UpstreamEntry &entry, const PlacementQuery &query) const
{
    return notices_.acceptsRequests(entry) && entry.pool == query.pool && query.accepts(entry.version);
}

std::optional<GiveUpReason> RelayPlacement::blockedUntil(const UpstreamDirectory &directory,
                                                         const PlacementQuery &query,
                                                         TimePoint until,
                                                         std::size_t ahead,
                                                         TimePoint now) const
{
    std::optional<GiveUpReason> cause;
    std::size_t permitted = 0;
    for (const auto &[name, entry] : directory.entries()) {
        if (!mayServe(entry, query)) {
            continue;
        }
        if (notices_.pausedUntil(entry) > until) {
            cause = cause.value_or(GiveUpReason::UpstreamsPaused);
            continue;
        }
        if (!limits_.isLimited(name)) {
            return std::nullopt;
        }
        cause = GiveUpReason::UpstreamsLimited;
        permitted += limits_.permitsUntil(name, until, now);
    }
    return permitted > ahead ? std::nullopt : cause;
}

std::optional<RequestPermits> RelayPlacement::permits(const UpstreamDirectory &directory,
                                                      const PlacementQuery &query,
                                                      TimePoint now) const
{
    RequestPermits sum;
    bool isLimited = false;
    for (const auto &[name, entry] : directory.entries()) {
        if (!mayServe(entry, query)) {
            continue;
        }
        if (!limits_.isLimited(name)) {
            return std::nullopt;
        }
        isLimited = true;
        const RequestPermits permits = limits_.permits(name, now);
        sum.count += permits.count;
        sum.remaining = std::max(sum.remaining, permits.remaining);
    }
    return isLimited ? std::optional<RequestPermits>(sum) : std::nullopt;
}

std::optional<Placement> RelayPlacement::choose(const UpstreamDirectory &directory,
                                                const PlacementQuery &query,
                                                TimePoint now)
{
    std::vector<Candidate> eligible = candidates(directory, query, now);
    if (eligible.empty()) {
        return std::nullopt;
    }
    keepPartition(eligible, query, now);
    std::erase_if(eligible, [](const Candidate &candidate) { return !candidate.hasRoom; });
    if (eligible.empty()) {
        return std::nullopt;
    }
    const Candidate *best = nullptr;
    const auto unconfirmed = std::find_if(eligible.begin(), eligible.end(), [&](const Candidate &candidate) {
        return candidate.isLimited && limits_.needsConfirmation(candidate.entry->name, now);
    });
    if (unconfirmed != eligible.end()) {
        best = &*unconfirmed;
    } else if (query.engine && query.sharesPrefixes && sharedPrefixKey(query.prompt) != 0) {
        best = firstSuitable(eligible, query);
    } else {
        best = &*std::min_element(
            eligible.begin(), eligible.end(), [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const UpstreamLoad *upstreamLoad = find(best->entry->name);
    Placement placement;
    placement.upstream = best->entry->identity();
    placement.version = best->entry->version;
    placement.load = best->load;
    placement.loadAge = upstreamLoad == nullptr ? std::nullopt : upstreamLoad->age(now);
    placement.unreadTokens = static_cast<std::uint32_t>(best->unreadTokens);
    placement.byPrefix = best->score != 0 && best->rank == 0;
    if (best->isLimited) {
        placement.limit = limits_.rate(best->entry->name);
        placement.limitAge = limits_.age(best->entry->name, now);
    }
    return placement;
}

const RelayPlacement::Candidate *RelayPlacement::firstSuitable(const std::vector<Candidate> &eligible,
                                                               const PlacementQuery &query)
{
    double sum = 0.0;
    for (const Candidate &candidate : eligible) {
        sum += candidate.cost;
    }
    const double mean = sum / static_cast<double>(eligible.size());
    const double bound = mean * AffinityBound + AffinitySlack;
    const double longestBacklog =
        static_cast<double>(toMilliseconds(query.target)) * PrefillShareOfTarget * PrefillTokensPerMillisecond;
    const bool waitsForCache = prefersWaiting(query);
    for (const Candidate &candidate : eligible) {
        if (waitsForCache && candidate.rank >= std::size(CachedProbability)) {
            return nullptr;
        }
        const double seats = static_cast<double>(candidate.entry->seats);
        const double spareSeats = std::max(seats * SpareSeatShare, mean <= seats * CrowdedSeatShare ? mean : 0.0);
        const double maxCost = candidate.rank == 0 ? seats * CachedSeatOversubscription : spareSeats;
        const bool hasCapacity = waitsForCache ? candidate.mayTakeSeat && candidate.cost < maxCost
                                               : candidate.cost <= std::max(bound, seats * IdleSeatShare);
        if (hasCapacity && candidate.backlog <= longestBacklog) {
            return &candidate;
        }
    }
    if (waitsForCache) {
        return nullptr;
    }
    // Compares only two engines, because all nodes would pick the overall best one until its new load is known.
    const bool second = eligible.size() > 1 && eligible[1].cost < eligible[0].cost;
    return &eligible[second ? 1 : 0];
}

void RelayPlacement::rank(std::vector<Candidate> &eligible, const PlacementQuery &query)
{
    const std::uint64_t key = query.sharesPrefixes ? sharedPrefixKey(query.prompt) : 0;
    const double prefixTokens = static_cast<double>(sharedPrefixTokens(query.prompt));
    for (Candidate &candidate : eligible) {
        candidate.score = key == 0 ? 0 : rendezvousScore(key, candidate.entry->name);
        candidate.unreadTokens = static_cast<double>(query.prompt.promptTokens);
    }
    if (key != 0) {
        std::sort(
            eligible.begin(), eligible.end(), [](const Candidate &a, const Candidate &b) { return a.score > b.score; });
    }
    for (std::size_t index = 0; index < eligible.size(); ++index) {
        Candidate &candidate = eligible[index];
        candidate.rank = index;
        if (key != 0 && index < std::size(CachedProbability)) {
            candidate.unreadTokens -= CachedProbability[index] * std::min(prefixTokens, candidate.unreadTokens);
        }
    }
}

void RelayPlacement::keepPartition(std::vector<Candidate> &eligible, const PlacementQuery &query, TimePoint now)
{
    EnginePartition partition;
    if (query.engine) {
        std::vector<UpstreamName> engines;
        engines.reserve(eligible.size());
        for (const Candidate &candidate : eligible) {
            if (!candidate.isLimited) {
                engines.push_back(candidate.entry->name);
            }
        }
        partition = partitioners_[query.pool].enginesFor(query.pool, query.tokenGapTarget, std::move(engines), now);
    }
    // Only now, because the size of a partition must not depend on what a single request needs.
    std::erase_if(eligible, [](const Candidate &candidate) { return !candidate.isAllowed; });
    // An engine that limits its requests belongs to no partition, since it appears and disappears with each permit.
    const auto isInPartition = [&partition](const Candidate &candidate) {
        return candidate.isLimited
            || std::find(partition.engines.begin(), partition.engines.end(), candidate.entry->name)
            != partition.engines.end();
    };
    const bool partitionHasRoom =
        std::any_of(eligible.begin(), eligible.end(), [&isInPartition](const Candidate &candidate) {
            return candidate.hasRoom && isInPartition(candidate);
        });
    const bool mayOverflow = partition.mayOverflow || query.version.has_value() || query.allowed.has_value();
    if (query.engine && (partitionHasRoom || !mayOverflow)) {
        std::erase_if(eligible, [&isInPartition](const Candidate &candidate) { return !isInPartition(candidate); });
    }
    if (query.engine) {
        rank(eligible, query);
    }
}

WorkAccount RelayPlacement::ownWork(TimePoint now) const
{
    WorkAccount work;
    for (const auto &[name, load] : loads_) {
        UpstreamWork item = load.ownWork();
        if (item.tokens != 0 || item.waiting != 0) {
            item.upstream = upstreamHash(name);
            work.upstreams.push_back(item);
        }
    }
    for (const auto &[pool, partitioner] : partitioners_) {
        partitioner.addDemands(work.demands, now);
    }
    return work;
}

void RelayPlacement::updateOthers(const UpstreamDirectory &directory, const WorkAccount &others, TimePoint now)
{
    std::unordered_map<std::uint32_t, const UpstreamWork *> workByHash;
    for (const UpstreamWork &work : others.upstreams) {
        workByHash.emplace(work.upstream, &work);
    }
    for (const auto &[name, entry] : directory.entries()) {
        if (partitioners_.count(entry.pool) == 0) {
            continue;
        }
        const auto found = workByHash.find(upstreamHash(name));
        const UpstreamWork work = found == workByHash.end() ? UpstreamWork {} : *found->second;
        UpstreamLoad &load = loads_[name];
        const double taken = static_cast<double>(work.requests) + static_cast<double>(load.ownRequests());
        load.updateOthers(
            work, static_cast<double>(entry.seats) * CachedSeatOversubscription - taken, random_.fraction(), now);
    }
    for (auto &[pool, partitioner] : partitioners_) {
        partitioner.updateOthers(others.demands, now);
    }
}

std::vector<RelayProbe> RelayPlacement::startDueProbes(const UpstreamDirectory &directory, TimePoint now)
{
    std::vector<RelayProbe> probes;
    for (auto &[name, load] : loads_) {
        if (mayProbe(directory, name, now) && load.startProbeIfDue(now)) {
            probes.push_back({ name, directory.entries().find(name)->address });
        }
    }
    return probes;
}

bool RelayPlacement::mayProbe(const UpstreamDirectory &directory, const UpstreamName &upstream, TimePoint now) const
{
    const UpstreamEntry *entry = directory.entries().find(upstream);
    return entry != nullptr && notices_.acceptsRequests(*entry) && now >= notices_.pausedUntil(*entry);
}

void RelayPlacement::noteSent(const PlacementQuery &query, std::uint32_t unreadTokens, TimePoint now)
{
    if (query.engine) {
        partitioners_[query.pool].noteSent(query.tokenGapTarget, query.prompt, unreadTokens, now);
    }
}

UpstreamName RelayPlacement::preferredEngine(const UpstreamDirectory &directory,
                                             const PlacementQuery &query,
                                             TimePoint now)
{
    if (!prefersWaiting(query)) {
        return {};
    }
    std::vector<Candidate> eligible = candidates(directory, query, now);
    keepPartition(eligible, query, now);
    return eligible.empty() ? UpstreamName() : eligible.front().entry->name;
}

bool RelayPlacement::usesOwnQueue(const PlacementQuery &query, TimePoint now)
{
    return query.engine && partitioners_[query.pool].hasOwnPartition(query.tokenGapTarget, now);
}

std::optional<double> RelayPlacement::seatUtilization(const UpstreamDirectory &directory,
                                                      const PoolName &pool,
                                                      TimePoint now) const
{
    double seats = 0.0;
    double taken = 0.0;
    for (const auto &[name, entry] : directory.entries()) {
        if (!notices_.acceptsRequests(entry) || entry.pool != pool) {
            continue;
        }
        const UpstreamLoad *upstreamLoad = find(name);
        seats += static_cast<double>(entry.seats);
        taken += upstreamLoad == nullptr ? 0.0 : upstreamLoad->requests(now);
    }
    if (seats == 0.0) {
        return std::nullopt;
    }
    return taken / seats;
}

const UpstreamLoad *RelayPlacement::find(const UpstreamName &name) const
{
    const auto found = loads_.find(name);
    return found == loads_.end() ? nullptr : &found->second;
}

} // namespace GeraniumLever
