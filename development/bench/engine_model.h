/** A model engine with continuous batching, chunked prefill by priority and a prefix cache, advanced in small steps. */
#pragma once

#include <list>
#include <unordered_map>
#include <vector>

#include "development/bench/bench_shape.h"

namespace GeraniumLever {

/** Work of one attempt at an engine. */
struct EngineWork
{
    AttemptId attempt;
    std::uint32_t tier = 0;
    std::uint32_t promptTokens = 0;
    /** Tokens still to generate. */
    std::uint32_t outputTokens = 0;
    std::vector<std::uint64_t> blockHashes;
};

/** What an engine has to tell after a step. */
struct EngineOutput
{
    AttemptId attempt;
    /** Tokens generated in all. */
    std::uint32_t tokens = 0;
    bool finished = false;
};

/** Change of the prefix cache. */
struct CacheChange
{
    std::uint64_t hash = 0;
    bool stored = true;
};

class EngineModel
{
public:
    explicit EngineModel(const EngineSpeeds &speeds) : speeds_(speeds) { }

    /** Returns the number of prompt tokens that its cache does not have. */
    double add(EngineWork work);

    /** Ends the attempt; its place is free at once. */
    void cancel(AttemptId attempt);

    /** Drops all work and the cache, as a crash does; returns the attempts that were lost. */
    std::vector<AttemptId> crash();

    /** Attempts with new tokens. */
    std::vector<EngineOutput> step(Duration step);

    /** Makes the engine slower by a factor. */
    void setSlowdown(double factor) { slowdown_ = factor; }

    /** Attempts in the batch and those that wait for a place in it. */
    std::size_t load() const { return batch_.size() + waiting_.size(); }
    std::size_t batchSize() const { return batch_.size(); }

    /** Prompt tokens computed so far. */
    double computedPromptTokens() const { return computedPromptTokens_; }

    /** Cache changes since the last call. */
    std::vector<CacheChange> takeCacheChanges();

private:
    struct Running
    {
        EngineWork work;
        double prefillLeft = 0.0;
        double generated = 0.0;
        std::uint32_t reported = 0;
    };

    void admit();
    void prefill(double seconds);
    double uncachedTokens(const EngineWork &work);
    void store(const EngineWork &work);

    EngineSpeeds speeds_;
    double slowdown_ = 1.0;
    std::vector<Running> batch_;
    std::list<EngineWork> waiting_;
    /** Least recently used block first. */
    std::list<std::uint64_t> blocks_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> blockIndex_;
    std::vector<CacheChange> changes_;
    double computedPromptTokens_ = 0.0;
};

} // namespace GeraniumLever
