/** What the bench drives: the scheduler under test or a baseline in its place. */
#pragma once

#include <memory>
#include <string>

#include "core/core.h"

namespace GeraniumLever {

/** Takes the same messages as SchedulingSystem and answers with the same commands. */
class BenchPolicy
{
public:
    virtual ~BenchPolicy() = default;

    virtual void applyCatalog(const CatalogPtr &catalog, TimePoint now) = 0;
    virtual void slotRequested(const NodeName &from, const SlotRequest &request, TimePoint now, Commands &commands) = 0;
    virtual void slotCancelled(const NodeName &from, const SlotCancel &cancel, TimePoint now, Commands &commands) = 0;
    virtual void attemptProgressed(const NodeName &from, const AttemptProgress &progress, TimePoint now) = 0;
    virtual void attemptEnded(const NodeName &from, const AttemptEnd &end, TimePoint now, Commands &commands) = 0;
    virtual void attemptRegistered(const NodeName &from, const AttemptRegistration &registration, TimePoint now) = 0;
    virtual void loadReported(const LoadReport &report, TimePoint now) = 0;
    virtual void cacheChanged(const CacheEvent &event, TimePoint now) = 0;
    virtual void nodeLost(const NodeName &node, TimePoint now, Commands &commands) = 0;
    virtual void tick(TimePoint now, Commands &commands) = 0;
};

/** Names of all policies, the scheduler under test first. */
std::vector<std::string> policyNames();

/** A policy by name; number distinguishes the instances of one run. */
std::unique_ptr<BenchPolicy> makePolicy(const std::string &name, std::uint64_t number);

/** True if the invariants of the scheduler are checked for the policy. */
bool isUnderTest(const std::string &name);

} // namespace GeraniumLever
