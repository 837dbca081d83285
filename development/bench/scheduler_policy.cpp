#include "development/bench/scheduler_policy.h"

namespace GeraniumLever {

SchedulerPolicy::SchedulerPolicy(std::uint64_t number)
    : system_(NodeName(std::string("scheduler-").append(std::to_string(number))), 1000 + number, 1000 + number)
{
}

void SchedulerPolicy::applyCatalog(const CatalogPtr &catalog, TimePoint now)
{
    system_.applyCatalog(catalog, now);
}

void SchedulerPolicy::slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands)
{
    system_.slotRequested(from, request, now, commands);
}

void SchedulerPolicy::slotCancelled(const NodeName &from, const SlotCancel &cancel, TimePoint now, Commands &commands)
{
    system_.slotCancelled(from, cancel, now, commands);
}

void SchedulerPolicy::attemptProgressed(const NodeName &from, const AttemptProgress &progress, TimePoint now)
{
    system_.attemptProgressed(from, progress, now);
}

void SchedulerPolicy::attemptEnded(const NodeName &from, const AttemptEnd &end, TimePoint now, Commands &commands)
{
    system_.attemptEnded(from, end, now, commands);
}

void SchedulerPolicy::attemptRegistered(const NodeName &from, const AttemptRegistration &registration, TimePoint now)
{
    system_.attemptRegistered(from, registration, now);
}

void SchedulerPolicy::loadReported(const LoadReport &report, TimePoint now)
{
    system_.loadReported(report, now);
}

void SchedulerPolicy::cacheChanged(const CacheEvent &event, TimePoint now)
{
    system_.cacheChanged(event, now);
}

void SchedulerPolicy::nodeLost(const NodeName &node, TimePoint now, Commands &commands)
{
    system_.nodeLost(node, now, commands);
}

void SchedulerPolicy::tick(TimePoint now, Commands &commands)
{
    system_.tick(now, commands);
}

} // namespace GeraniumLever
