/** Simple schedulers to compare with: one queue and seats per upstream, or turns without any queue. */
#pragma once

#include <map>
#include <set>
#include <unordered_map>

#include "development/bench/bench_policy.h"

namespace GeraniumLever {

/** What distinguishes one baseline from another. */
struct BaselineRules
{
    std::string name;
    /** Higher tiers first; otherwise in order of arrival. */
    bool byTier = false;
    /** Every request goes at once to the next upstream in turn, whose own queue it then waits in. */
    bool inTurn = false;
};

class BaselinePolicy : public BenchPolicy
{
public:
    BaselinePolicy(BaselineRules rules, std::uint64_t number) : rules_(std::move(rules)), origin_(2000 + number) { }

    void applyCatalog(const CatalogPtr &catalog, TimePoint now) override;
    void slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands) override;
    void slotCancelled(const NodeName &from, const SlotCancel &cancel, TimePoint now, Commands &commands) override;
    void attemptProgressed(const NodeName &from, const AttemptProgress &progress, TimePoint now) override;
    void attemptEnded(const NodeName &from, const AttemptEnd &end, TimePoint now, Commands &commands) override;
    void attemptRegistered(const NodeName &from, const AttemptRegistration &registration, TimePoint now) override;
    void loadReported(const LoadReport &report, TimePoint now) override;
    void cacheChanged(const CacheEvent &event, TimePoint now) override;
    void nodeLost(const NodeName &node, TimePoint now, Commands &commands) override;
    void tick(TimePoint now, Commands &commands) override;

private:
    /** Tier (0 in a queue by arrival) and order of arrival. */
    using Place = std::pair<std::uint32_t, std::uint64_t>;

    struct Waiting
    {
        SlotRequest request;
        NodeName from;
        TimePoint deadline;
    };

    const Upstream *choose(const SlotRequest &request);
    const Upstream *nextInTurn(const SlotRequest &request);
    void schedule(Commands &commands);
    void release(const AttemptId &attempt);

    BaselineRules rules_;
    std::uint64_t origin_;
    std::uint64_t attempts_ = 0;
    std::uint64_t arrivals_ = 0;
    CatalogPtr catalog_;
    std::map<Place, Waiting> queue_;
    std::unordered_map<RequestId, Place> places_;
    std::unordered_map<AttemptId, UpstreamName> running_;
    std::map<UpstreamName, std::uint32_t> inFlight_;
    std::map<ShardKey, std::size_t> turns_;
};

} // namespace GeraniumLever
