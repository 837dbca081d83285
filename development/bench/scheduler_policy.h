/** The scheduler under test as a bench policy. */
#pragma once

#include "development/bench/bench_policy.h"

#include "servers/scheduling/scheduling.h"

namespace GeraniumLever {

class SchedulerPolicy : public BenchPolicy
{
public:
    explicit SchedulerPolicy(std::uint64_t number);

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
    SchedulingSystem system_;
};

} // namespace GeraniumLever
