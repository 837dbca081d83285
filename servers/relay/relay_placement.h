/** Choice of the upstream for a relayed request. */
#pragma once

#include <optional>
#include <set>

#include "servers/relay/engine_partitioner.h"
#include "servers/relay/peer_view.h"
#include "servers/relay/upstream_load.h"
#include "servers/routing/routing.h"

namespace GeraniumLever {

/** What the choice depends on. */
struct PlacementQuestion
{
    PoolName pool;
    bool engine = false;
    bool sharesPrefixes = false;
    /** Connections that one upstream accepts from all nodes together; 0 if no limit is stated. */
    std::uint32_t maxConnections = 0;
    /** Tokens that one engine's memory holds; 0 if not stated. */
    std::uint64_t kvCacheTokens = 0;
    /** Time to the first part of the answer that the request should meet. */
    Duration target { 0 };
    /** Longest pause in the answer that the request should meet. */
    Duration pauseTarget { 0 };
    PromptInfo prompt;
    /** Upstreams that must not be chosen, since an attempt there has failed. */
    std::set<UpstreamName> excluded;
};

/** An upstream, and why it was chosen. */
struct Placement
{
    UpstreamName upstream;
    std::string address;
    /** Requests believed to be there. */
    double load = 0.0;
    /** How old the knowledge of the other nodes' requests there is; absent if there is none. */
    std::optional<Duration> loadAge;
    /** Prompt tokens that an engine has probably to read before it can answer. */
    std::uint32_t unreadTokens = 0;
    /** True if the upstream was the first choice by the shared parts of the prompt. */
    bool byPrefix = false;
};

/** Answers a rush: each prompt has an order of engines by its shared parts, alike at all nodes, and goes to the first
 * one that has clearly not more to do than the others and can answer in time. Long shared parts are worth waiting for
 * one of the first engines, which have probably kept them. So a rush on one part spreads over as few engines as can
 * bear it, and a node's knowledge, which is always a little old, does not send everybody to the engine that seems idle.
 * Requests without shared parts, and those of plain services, go to the least loaded upstream. */
class RelayPlacement
{
public:
    /** peers: must outlive the placement. */
    RelayPlacement(DataCenterName dataCenter, const PeerView &peers, std::uint64_t seed)
        : dataCenter_(std::move(dataCenter)), peers_(peers), random_(seed)
    {
    }

    /** Drops what is known of upstreams that are gone or have started again. */
    void follow(const UpstreamDirectory &directory, const DirectoryChanges &changes);

    /** The best upstream with room; nothing if there is none. */
    std::optional<Placement> choose(const UpstreamDirectory &directory,
                                    const PlacementQuestion &question,
                                    TimePoint now);

    /** The engine for which a request waits that found none with room; empty if any will do. */
    UpstreamName awaited(const UpstreamDirectory &directory, const PlacementQuestion &question, TimePoint now);

    /** Notes that the request was sent to an engine, which has probably so many prompt tokens of it to read. */
    void noteSent(const PlacementQuestion &question, std::uint32_t unreadTokens, TimePoint now);

    /** True if such requests have engines of their own, and so wait apart from the others of the pool. */
    bool waitsApart(const PlacementQuestion &question, TimePoint now);

    /** Probes that are due. */
    std::vector<RelayProbe> takeProbes(const UpstreamDirectory &directory, TimePoint now);

    /** Share of the pool's seats believed to be taken, over upstreams that take work; absent if there is none. */
    std::optional<double> fillOf(const UpstreamDirectory &directory, const PoolName &pool, TimePoint now) const;

    /** What this node has at engines. */
    WorkAccount ownWork(TimePoint now) const;

    /** Takes what all other nodes have at engines; those that are not named have nothing. */
    void learnOthers(const UpstreamDirectory &directory, const WorkAccount &others, TimePoint now);

    /** What is known of an upstream; created on first use. */
    UpstreamLoad &load(const UpstreamName &name) { return loads_[name]; }

private:
    struct Candidate;

    std::vector<Candidate> candidates(const UpstreamDirectory &directory,
                                      const PlacementQuestion &question,
                                      TimePoint now) const;
    const UpstreamLoad *find(const UpstreamName &name) const;
    /** The first engine that can be expected to answer in time; nothing if the request should wait for one of its own.
     */
    static const Candidate *firstInOrder(const std::vector<Candidate> &open, const PlacementQuestion &question);

    /** Orders engines by the shared parts of the prompt, and adds what each would have to read of it. */
    static void rank(std::vector<Candidate> &open, const PlacementQuestion &question);

    /** Leaves the upstreams that are meant for such requests, or all if the request may go there and the others have no
     *  room; engines in the order of the prompt's shared parts. */
    void keepMeant(std::vector<Candidate> &open, const PlacementQuestion &question, TimePoint now);

    DataCenterName dataCenter_;
    const PeerView &peers_;
    RandomSource random_;
    std::map<PoolName, EngineSharing> sharing_;
    std::map<UpstreamName, UpstreamLoad> loads_;
};

} // namespace GeraniumLever
