#include "servers/relay/relay_placement.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** An engine may have this much more to do than the mean before requests with its prompt parts go elsewhere. */
constexpr double AffinityBound = 1.3;
/** Requests above the mean that affinity always allows, so that it holds when there is little to do. */
constexpr double AffinitySlack = 2.0;
/** Share of its seats up to which an engine counts as idle, so that prompt parts alone decide. */
constexpr double IdleSeatShare = 0.25;
/** Requests that would rather wait for an engine that has kept their parts go to another one only below the mean load,
 * or below the first share of its seats where the mean is above the second one: what is read again is then read where
 *  nobody waits. */
constexpr double SpareSeatShare = 0.5;
constexpr double CrowdedSeatShare = 0.75;
/** Requests of that kind sent beyond the seats to the engine that has kept their parts. */
constexpr double OverSeatsIfKept = 1.1;
/** How likely the first engines in the order of a prompt's shared parts have kept them. */
constexpr double KeptChance[] = { 1.0, 0.4, 0.2, 0.1 };
/** With so many shared tokens a request rather waits for an engine that has probably kept them: reading them again
 * would hold up everything behind it. */
constexpr std::uint32_t WorthWaitingTokens = 1000;
/** Part of the target for the first answer that may pass with reading the prompts before this one. */
constexpr double ReadingShareOfTarget = 0.6;
/** Prompt tokens that an engine reads in a millisecond, at the least. */
constexpr double ReadTokensPerMillisecond = 100.0;
/** Requests sent beyond the seats, since what is believed of a load is older than the load. */
constexpr double OverSeats = 1.2;
/** Part of an engine's memory that is filled; the rest is for answers that grow and for what is believed too late. */
constexpr double UsableTokenShare = 0.8;
/** Requests by which an upstream in another data centre must be better. */
constexpr double RemotePenalty = 0.5;
/** Requests that count against an upstream that failed every attempt lately. */
constexpr double FailurePenalty = 8.0;

/** Nodes among which the connections of an upstream are divided at least, and margin over those that are known. */
constexpr double FewestSharingNodes = 12.0;
constexpr double SharingMargin = 1.3;
constexpr std::uint32_t FewestConnections = 2;

/** Connections to one upstream that this node may use of all that it accepts; 0 stands for no limit. */
std::uint32_t connectionShare(std::uint32_t maxConnections, const std::optional<std::size_t> &nodes)
{
    if (maxConnections == 0) {
        return std::numeric_limits<std::uint32_t>::max();
    }
    const double sharing = std::max(FewestSharingNodes, SharingMargin * static_cast<double>(nodes.value_or(0)));
    return std::max(FewestConnections, static_cast<std::uint32_t>(maxConnections / sharing));
}

/** Requests that count against an engine whose answers pause for the whole pause that the request bears. */
constexpr double PacePenalty = 10.0;

std::uint64_t rendezvousScore(std::uint64_t key, const UpstreamName &upstream)
{
    return XXH64(upstream.text().data(), upstream.text().size(), key);
}

std::uint32_t workKey(const UpstreamName &upstream)
{
    return XXH32(upstream.text().data(), upstream.text().size(), 0);
}

/** Hash of the parts that other requests have, too; 0 if there is none. */
std::uint64_t sharedKey(const PromptInfo &prompt)
{
    if (prompt.parts.size() < 2) {
        return 0;
    }
    return prompt.parts[prompt.parts.size() - 2].id;
}

/** Tokens of these parts. */
std::uint32_t sharedTokens(const PromptInfo &prompt)
{
    std::uint32_t tokens = 0;
    for (std::size_t index = 0; index + 1 < prompt.parts.size(); ++index) {
        tokens += prompt.parts[index].tokens;
    }
    return tokens;
}

/** True if the request waits for an engine that has probably kept its parts rather than go to any other. */
bool ratherWaits(const PlacementQuestion &question)
{
    return question.engine && question.sharesPrefixes && sharedTokens(question.prompt) >= WorthWaitingTokens;
}

} // namespace

struct RelayPlacement::Candidate
{
    const UpstreamEntry *entry = nullptr;
    double load = 0.0;
    /** Load with what speaks against the upstream. */
    double cost = 0.0;
    /** Prompt tokens of other requests that it has still to read. */
    double backlog = 0.0;
    /** Prompt tokens of the request that it would have to read. */
    double unread = 0.0;
    /** Rank by the shared parts of the prompt; 0 if there are none. */
    std::uint64_t score = 0;
    std::size_t rank = 0;
    bool suspect = false;
    bool hasRoom = true;
    /** False if the free seats are the part of other nodes. */
    bool mayTakeSeat = true;
};

void RelayPlacement::follow(const UpstreamDirectory &directory, const DirectoryChanges &changes)
{
    for (const UpstreamName &name : changes.restarted) {
        loads_.erase(name);
    }
    std::erase_if(loads_, [&directory](const auto &known) {
        return known.second.own() == 0 && !directory.entries().contains(known.first);
    });
}

std::vector<RelayPlacement::Candidate> RelayPlacement::candidates(const UpstreamDirectory &directory,
                                                                  const PlacementQuestion &question,
                                                                  TimePoint now) const
{
    std::vector<Candidate> result;
    bool anySound = false;
    const std::uint32_t connections = connectionShare(question.maxConnections, peers_.nodeCount());
    for (const auto &[name, entry] : directory.entries()) {
        if (entry.leaving || entry.pool != question.pool || question.excluded.count(name) > 0) {
            continue;
        }
        Candidate candidate;
        candidate.entry = &entry;
        const UpstreamLoad *known = find(name);
        candidate.load = known == nullptr ? 0.0 : known->requests(now);
        if (known != nullptr) {
            candidate.suspect = known->suspect(now) || known->full(now);
        }
        candidate.cost = candidate.load;
        if (known != nullptr) {
            candidate.cost += known->failureShare() * FailurePenalty;
            if (question.engine) {
                const double pace = std::chrono::duration<double>(known->gap(now)) / question.pauseTarget;
                candidate.cost += pace * PacePenalty;
                candidate.backlog = known->unreadTokens(now);
                candidate.mayTakeSeat = known->mayTakeSeat(now);
            }
        }
        candidate.cost += entry.dataCenter == dataCenter_ || question.engine ? 0.0 : RemotePenalty;
        candidate.hasRoom = known == nullptr || known->own() < connections;
        const double tokens = known == nullptr ? 0.0 : known->tokens(now);
        const double limit = static_cast<double>(question.kvCacheTokens) * UsableTokenShare;
        if (limit > 0.0 && tokens > 0.0 && tokens + static_cast<double>(question.prompt.promptTokens) > limit) {
            candidate.hasRoom = false;
        }
        if (candidate.load >= static_cast<double>(entry.seats) * OverSeats) {
            candidate.hasRoom = false;
        }
        anySound = anySound || !candidate.suspect;
        result.push_back(candidate);
    }
    if (anySound) {
        std::erase_if(result, [](const Candidate &candidate) { return candidate.suspect; });
    }
    return result;
}

std::optional<Placement> RelayPlacement::choose(const UpstreamDirectory &directory,
                                                const PlacementQuestion &question,
                                                TimePoint now)
{
    std::vector<Candidate> open = candidates(directory, question, now);
    if (open.empty()) {
        return std::nullopt;
    }
    keepMeant(open, question, now);
    std::erase_if(open, [](const Candidate &candidate) { return !candidate.hasRoom; });
    if (open.empty()) {
        return std::nullopt;
    }
    const Candidate *best = nullptr;
    if (question.engine && question.sharesPrefixes && sharedKey(question.prompt) != 0) {
        best = firstInOrder(open, question);
    } else {
        best = &*std::min_element(
            open.begin(), open.end(), [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const UpstreamLoad *known = find(best->entry->name);
    Placement placement;
    placement.upstream = best->entry->name;
    placement.address = best->entry->address;
    placement.load = best->load;
    placement.loadAge = known == nullptr ? std::nullopt : known->age(now);
    placement.unreadTokens = static_cast<std::uint32_t>(best->unread);
    placement.byPrefix = best->score != 0 && best->rank == 0;
    return placement;
}

const RelayPlacement::Candidate *RelayPlacement::firstInOrder(const std::vector<Candidate> &open,
                                                              const PlacementQuestion &question)
{
    double sum = 0.0;
    for (const Candidate &candidate : open) {
        sum += candidate.cost;
    }
    const double mean = sum / static_cast<double>(open.size());
    const double bound = mean * AffinityBound + AffinitySlack;
    const double longestBacklog =
        static_cast<double>(toMilliseconds(question.target)) * ReadingShareOfTarget * ReadTokensPerMillisecond;
    const bool waits = ratherWaits(question);
    for (const Candidate &candidate : open) {
        if (waits && candidate.rank >= std::size(KeptChance)) {
            return nullptr;
        }
        const double seats = static_cast<double>(candidate.entry->seats);
        const double spare = std::max(seats * SpareSeatShare, mean <= seats * CrowdedSeatShare ? mean : 0.0);
        const double waitsUpTo = candidate.rank == 0 ? seats * OverSeatsIfKept : spare;
        const bool fits = waits ? candidate.mayTakeSeat && candidate.cost < waitsUpTo
                                : candidate.cost <= std::max(bound, seats * IdleSeatShare);
        if (fits && candidate.backlog <= longestBacklog) {
            return &candidate;
        }
    }
    if (waits) {
        return nullptr;
    }
    // The better of two, not of all: everybody would choose the same one until its new load is known.
    const bool second = open.size() > 1 && open[1].cost < open[0].cost;
    return &open[second ? 1 : 0];
}

void RelayPlacement::rank(std::vector<Candidate> &open, const PlacementQuestion &question)
{
    const std::uint64_t key = question.sharesPrefixes ? sharedKey(question.prompt) : 0;
    const double shared = static_cast<double>(sharedTokens(question.prompt));
    for (Candidate &candidate : open) {
        candidate.score = key == 0 ? 0 : rendezvousScore(key, candidate.entry->name);
        candidate.unread = static_cast<double>(question.prompt.promptTokens);
    }
    if (key != 0) {
        std::sort(open.begin(), open.end(), [](const Candidate &a, const Candidate &b) { return a.score > b.score; });
    }
    for (std::size_t index = 0; index < open.size(); ++index) {
        Candidate &candidate = open[index];
        candidate.rank = index;
        if (key != 0 && index < std::size(KeptChance)) {
            candidate.unread -= KeptChance[index] * std::min(shared, candidate.unread);
        }
    }
}

void RelayPlacement::keepMeant(std::vector<Candidate> &open, const PlacementQuestion &question, TimePoint now)
{
    EnginePart part;
    if (question.engine) {
        std::vector<UpstreamName> engines;
        engines.reserve(open.size());
        for (const Candidate &candidate : open) {
            engines.push_back(candidate.entry->name);
        }
        part = sharing_[question.pool].enginesFor(question.pool, question.pauseTarget, std::move(engines), now);
    }
    const auto isMeant = [&part](const Candidate &candidate) {
        return std::find(part.engines.begin(), part.engines.end(), candidate.entry->name) != part.engines.end();
    };
    const bool meantHaveRoom = std::any_of(open.begin(), open.end(), [&isMeant](const Candidate &candidate) {
        return candidate.hasRoom && isMeant(candidate);
    });
    if (question.engine && (meantHaveRoom || !part.mayUseOthers)) {
        std::erase_if(open, [&isMeant](const Candidate &candidate) { return !isMeant(candidate); });
    }
    if (question.engine) {
        rank(open, question);
    }
}

WorkAccount RelayPlacement::ownWork(TimePoint now) const
{
    WorkAccount work;
    for (const auto &[name, load] : loads_) {
        UpstreamWork item = load.ownWork();
        if (item.tokens != 0 || item.waiting != 0) {
            item.upstream = workKey(name);
            work.upstreams.push_back(item);
        }
    }
    for (const auto &[pool, sharing] : sharing_) {
        sharing.addDemands(work.demands, now);
    }
    return work;
}

void RelayPlacement::learnOthers(const UpstreamDirectory &directory, const WorkAccount &others, TimePoint now)
{
    std::unordered_map<std::uint32_t, const UpstreamWork *> known;
    for (const UpstreamWork &work : others.upstreams) {
        known.emplace(work.upstream, &work);
    }
    for (const auto &[name, entry] : directory.entries()) {
        if (sharing_.count(entry.pool) == 0) {
            continue;
        }
        const auto found = known.find(workKey(name));
        const UpstreamWork work = found == known.end() ? UpstreamWork {} : *found->second;
        UpstreamLoad &load = loads_[name];
        const double taken = static_cast<double>(work.requests) + static_cast<double>(load.own());
        load.learnOthers(work, static_cast<double>(entry.seats) * OverSeatsIfKept - taken, random_.fraction(), now);
    }
    for (auto &[pool, sharing] : sharing_) {
        sharing.learnOthers(others.demands, now);
    }
}

std::vector<RelayProbe> RelayPlacement::takeProbes(const UpstreamDirectory &directory, TimePoint now)
{
    std::vector<RelayProbe> probes;
    for (auto &[name, load] : loads_) {
        const UpstreamEntry *entry = directory.entries().find(name);
        if (entry != nullptr && !entry->leaving && load.takeProbe(now)) {
            probes.push_back({ name, entry->address });
        }
    }
    return probes;
}

void RelayPlacement::noteSent(const PlacementQuestion &question, std::uint32_t unreadTokens, TimePoint now)
{
    if (question.engine) {
        sharing_[question.pool].noteSent(question.pauseTarget, question.prompt, unreadTokens, now);
    }
}

UpstreamName RelayPlacement::awaited(const UpstreamDirectory &directory,
                                     const PlacementQuestion &question,
                                     TimePoint now)
{
    if (!ratherWaits(question)) {
        return {};
    }
    std::vector<Candidate> meant = candidates(directory, question, now);
    keepMeant(meant, question, now);
    return meant.empty() ? UpstreamName() : meant.front().entry->name;
}

bool RelayPlacement::waitsApart(const PlacementQuestion &question, TimePoint now)
{
    return question.engine && sharing_[question.pool].bearsLongPauses(question.pauseTarget, now);
}

std::optional<double> RelayPlacement::fillOf(const UpstreamDirectory &directory,
                                             const PoolName &pool,
                                             TimePoint now) const
{
    double seats = 0.0;
    double taken = 0.0;
    for (const auto &[name, entry] : directory.entries()) {
        if (entry.leaving || entry.pool != pool) {
            continue;
        }
        const UpstreamLoad *known = find(name);
        seats += static_cast<double>(entry.seats);
        taken += known == nullptr ? 0.0 : known->requests(now);
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
