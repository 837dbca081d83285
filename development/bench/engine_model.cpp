#include "development/bench/engine_model.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

constexpr double TokensPerBlock = 64.0;

} // namespace

double EngineModel::add(EngineWork work)
{
    const double uncached = uncachedTokens(work);
    waiting_.push_back(std::move(work));
    admit();
    return uncached;
}

void EngineModel::admit()
{
    while (batch_.size() < speeds_.seats && !waiting_.empty()) {
        // Engines honour priorities; equal ones are served in order of arrival.
        const std::list<EngineWork>::iterator next =
            std::min_element(waiting_.begin(), waiting_.end(), [](const EngineWork &first, const EngineWork &second) {
                return first.tier < second.tier;
            });
        Running running;
        running.prefillLeft = uncachedTokens(*next);
        running.work = std::move(*next);
        waiting_.erase(next);
        batch_.push_back(std::move(running));
    }
}

void EngineModel::cancel(AttemptId attempt)
{
    std::erase_if(batch_, [attempt](const Running &running) { return running.work.attempt == attempt; });
    waiting_.remove_if([attempt](const EngineWork &work) { return work.attempt == attempt; });
    admit();
}

std::vector<AttemptId> EngineModel::crash()
{
    std::vector<AttemptId> lost;
    for (const Running &running : batch_) {
        lost.push_back(running.work.attempt);
    }
    for (const EngineWork &work : waiting_) {
        lost.push_back(work.attempt);
    }
    batch_.clear();
    waiting_.clear();
    blocks_.clear();
    blockIndex_.clear();
    return lost;
}

void EngineModel::prefill(double seconds)
{
    double budget = seconds * speeds_.prefillRate / slowdown_;
    while (budget > 0.0) {
        Running *next = nullptr;
        for (Running &running : batch_) {
            if (running.prefillLeft > 0.0 && (next == nullptr || running.work.tier < next->work.tier)) {
                next = &running;
            }
        }
        if (next == nullptr) {
            return;
        }
        const double done = std::min(budget, next->prefillLeft);
        next->prefillLeft -= done;
        budget -= done;
        computedPromptTokens_ += done;
        if (next->prefillLeft <= 0.0) {
            store(next->work);
        }
    }
}

std::vector<EngineOutput> EngineModel::step(Duration step)
{
    const double seconds = std::chrono::duration<double>(step).count();
    const bool busyWithPrompts =
        std::any_of(batch_.begin(), batch_.end(), [](const Running &running) { return running.prefillLeft > 0.0; });
    std::vector<bool> decoding(batch_.size());
    std::size_t decodingCount = 0;
    for (std::size_t index = 0; index < batch_.size(); ++index) {
        decoding[index] = batch_[index].prefillLeft <= 0.0;
        decodingCount += decoding[index] ? 1 : 0;
    }
    prefill(seconds);
    const double batchGap = speeds_.baseGap + speeds_.gapPerAttempt * static_cast<double>(decodingCount);
    const double gap = batchGap * slowdown_ * (busyWithPrompts ? speeds_.prefillInterference : 1.0);
    std::vector<EngineOutput> outputs;
    for (std::size_t index = 0; index < batch_.size(); ++index) {
        Running &running = batch_[index];
        if (running.prefillLeft > 0.0) {
            continue;
        }
        // The end of the prefill yields the first token.
        running.generated = decoding[index] ? running.generated + seconds / gap : 1.0;
        const std::uint32_t tokens = std::min(static_cast<std::uint32_t>(running.generated), running.work.outputTokens);
        if (tokens > running.reported) {
            running.reported = tokens;
            outputs.push_back({ running.work.attempt, tokens, tokens == running.work.outputTokens });
        }
    }
    std::erase_if(batch_, [](const Running &running) { return running.reported == running.work.outputTokens; });
    admit();
    return outputs;
}

double EngineModel::uncachedTokens(const EngineWork &work)
{
    double blocks = 0.0;
    for (const std::uint64_t hash : work.blockHashes) {
        const std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>::iterator found =
            blockIndex_.find(hash);
        if (found == blockIndex_.end()) {
            break;
        }
        blocks_.splice(blocks_.end(), blocks_, found->second);
        blocks += 1.0;
    }
    // The last token is always computed.
    return std::max(1.0, work.promptTokens - blocks * TokensPerBlock);
}

void EngineModel::store(const EngineWork &work)
{
    for (const std::uint64_t hash : work.blockHashes) {
        if (blockIndex_.count(hash) > 0) {
            continue;
        }
        blocks_.push_back(hash);
        blockIndex_[hash] = std::prev(blocks_.end());
        changes_.push_back({ hash, true });
        if (blocks_.size() > speeds_.cacheBlocks) {
            changes_.push_back({ blocks_.front(), false });
            blockIndex_.erase(blocks_.front());
            blocks_.pop_front();
        }
    }
}

std::vector<CacheChange> EngineModel::takeCacheChanges()
{
    std::vector<CacheChange> changes;
    changes.swap(changes_);
    return changes;
}

} // namespace GeraniumLever
