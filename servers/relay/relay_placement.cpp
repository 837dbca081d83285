#include "servers/relay/relay_placement.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** An engine may have this much more to do than the mean before requests with its prompt parts go elsewhere. */
constexpr double AffinityBound = 1.3;
/** Requests above the mean that affinity always allows, so that it holds when there is little to do. */
constexpr double AffinitySlack = 2.0;
/** Requests sent beyond the seats, since what is believed of a load is older than the load. */
constexpr double OverSeats = 1.2;
/** Part of an engine's memory that is filled; the rest is for answers that grow and for what is believed too late. */
constexpr double UsableTokenShare = 0.8;
/** Requests by which an upstream in another data centre must be better. */
constexpr double RemotePenalty = 0.5;
/** Requests that count against an upstream that failed every attempt lately. */
constexpr double FailurePenalty = 8.0;

/** Nodes among which the connections of an upstream are divided; a node that is busier than others needs more than its
 *  share, and upstreams accept fewer while their queue is long. */
constexpr std::uint32_t NodesPerUpstream = 12;
constexpr std::uint32_t FewestConnections = 2;

/** Requests that count against an engine whose answers pause for the whole pause that the request bears. */
constexpr double PacePenalty = 10.0;

std::uint64_t rendezvousScore(std::uint64_t key, const UpstreamName &upstream)
{
    return XXH64(upstream.text().data(), upstream.text().size(), key);
}

/** Hash of the parts that other requests have, too; 0 if there is none. */
std::uint64_t sharedKey(const PromptFacts &prompt)
{
    if (prompt.parts.size() < 2) {
        return 0;
    }
    return prompt.parts[prompt.parts.size() - 2].id;
}

} // namespace

struct RelayPlacement::Candidate
{
    const UpstreamEntry *entry = nullptr;
    double load = 0.0;
    /** Load with what speaks against the upstream. */
    double cost = 0.0;
    bool suspect = false;
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
    const std::uint32_t connections = question.maxConnections == 0
        ? std::numeric_limits<std::uint32_t>::max()
        : std::max(FewestConnections, question.maxConnections / NodesPerUpstream);
    for (const auto &[name, entry] : directory.entries()) {
        if (entry.leaving || entry.pool != question.pool || question.excluded.count(name) > 0) {
            continue;
        }
        Candidate candidate;
        candidate.entry = &entry;
        const UpstreamLoad *known = find(name);
        if (known != nullptr) {
            candidate.load = known->requests(now);
            candidate.suspect = known->suspect(now) || known->full(now);
            candidate.cost = candidate.load + known->failureShare() * FailurePenalty;
            if (question.engine) {
                const double pace = std::chrono::duration<double>(known->gap(now)) / question.pauseTarget;
                candidate.cost += pace * PacePenalty;
            }
        }
        candidate.cost += entry.dataCenter == dataCenter_ || question.engine ? 0.0 : RemotePenalty;
        if (known != nullptr && known->own() >= connections) {
            continue;
        }
        const double tokens = known == nullptr ? 0.0 : known->tokens(now);
        const double limit = static_cast<double>(question.engineTokens) * UsableTokenShare;
        if (limit > 0.0 && tokens > 0.0 && tokens + static_cast<double>(question.prompt.promptTokens) > limit) {
            continue;
        }
        if (candidate.load >= static_cast<double>(entry.seats) * OverSeats) {
            continue;
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
    if (question.engine) {
        keepMeant(open, directory, question, now);
    }
    double sum = 0.0;
    for (const Candidate &candidate : open) {
        sum += candidate.cost;
    }
    const double bound = sum / static_cast<double>(open.size()) * AffinityBound + AffinitySlack;
    const std::uint64_t key = question.sharesPrompts ? sharedKey(question.prompt) : 0;
    const Candidate *best = nullptr;
    std::uint64_t bestScore = 0;
    if (key != 0) {
        for (const Candidate &candidate : open) {
            const std::uint64_t score = rendezvousScore(key, candidate.entry->name);
            if (candidate.cost <= bound && (best == nullptr || score > bestScore)) {
                best = &candidate;
                bestScore = score;
            }
        }
    }
    const bool byPrefix = best != nullptr;
    if (best == nullptr) {
        best = &*std::min_element(
            open.begin(), open.end(), [](const Candidate &a, const Candidate &b) { return a.cost < b.cost; });
    }
    return Placement { best->entry->name, best->entry->address, best->load, byPrefix };
}

void RelayPlacement::keepMeant(std::vector<Candidate> &open,
                               const UpstreamDirectory &directory,
                               const PlacementQuestion &question,
                               TimePoint now)
{
    std::vector<UpstreamName> engines;
    for (const auto &[name, entry] : directory.entries()) {
        if (!entry.leaving && entry.pool == question.pool) {
            engines.push_back(name);
        }
    }
    const std::vector<UpstreamName> meant =
        sharing_[question.pool].enginesFor(question.pool, question.pauseTarget, std::move(engines), now);
    const auto isMeant = [&meant](const Candidate &candidate) {
        return std::find(meant.begin(), meant.end(), candidate.entry->name) != meant.end();
    };
    if (std::any_of(open.begin(), open.end(), isMeant)) {
        std::erase_if(open, [&isMeant](const Candidate &candidate) { return !isMeant(candidate); });
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

void RelayPlacement::noteRequest(const PlacementQuestion &question, TimePoint now)
{
    if (!question.engine) {
        return;
    }
    sharing_[question.pool].noteRequest(question.pauseTarget, question.prompt.promptTokens, now);
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
