#include <iomanip>
#include <iostream>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "tests/servers/claims/claim_simulation.h"

namespace GeraniumLever {
namespace {

/** Sums of many runs. */
struct Totals
{
    std::uint64_t runs = 0;
    std::uint64_t executions = 0;
    std::uint64_t calls = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    /** Runs that break an invariant, by invariant. */
    std::map<std::string, std::uint64_t> violations;
    std::array<std::uint64_t, StepCount> nodeFaults {};
    std::array<std::uint64_t, StepCount> storeFaults {};
    std::string firstViolation;

    void add(const FaultPlan &plan)
    {
        const RunReport report = ClaimWorld(plan).run();
        ++runs;
        executions += report.executions;
        calls += report.calls;
        answered += report.answered;
        notRun += report.notRun;
        unknown += report.unknown;
        for (const std::string &violation : std::set<std::string>(report.violations.begin(), report.violations.end())) {
            ++violations[violation];
        }
        nodeFaults[static_cast<std::size_t>(plan.step)] += report.nodeFaultStruck ? 1 : 0;
        for (std::size_t step = 0; step < StepCount; ++step) {
            storeFaults[step] += report.storeFaults[step];
        }
        if (!report.violations.empty() && firstViolation.empty()) {
            firstViolation = "seed " + std::to_string(plan.seed) + ": " + report.violations.front();
        }
    }

    void print() const
    {
        std::cout << runs << " interleavings, " << calls << " calls: " << answered << " answered, " << notRun
                  << " not run, " << unknown << " unknown or cut off; " << executions << " executions\n"
                  << std::left << std::setw(24) << "step"
                  << "node faults, store faults\n";
        for (std::size_t step = 0; step < StepCount; ++step) {
            std::cout << std::setw(24) << StepNames[step] << std::setw(13) << nodeFaults[step] << storeFaults[step]
                      << "\n";
        }
    }
};

constexpr std::array<ProtocolStep, 5> WriteSteps = {
    ProtocolStep::RegisterApplied, ProtocolStep::InsertApplied,  ProtocolStep::BodyStored,
    ProtocolStep::ResultApplied,   ProtocolStep::ReleaseApplied,
};

/** From a sound store to one that is down until the recovery. */
constexpr std::array<std::uint64_t, 8> StoreFaultEvery = { 0, 6, 0, 6, 2, 0, 6, 1 };

/** Every node fault at every step, with every store fault at every write. */
template<typename Visitor>
void forEachPlan(std::uint64_t seedsEach, Visitor visit)
{
    std::uint64_t seed = 0;
    for (std::size_t step = 0; step < StepCount; ++step) {
        for (std::size_t nodeFault = 0; nodeFault < static_cast<std::size_t>(NodeFault::Count); ++nodeFault) {
            for (const ProtocolStep storeStep : WriteSteps) {
                for (std::size_t fault = 0; fault < static_cast<std::size_t>(StoreFault::Count); ++fault) {
                    for (std::uint64_t repeat = 0; repeat < seedsEach; ++repeat) {
                        FaultPlan plan;
                        plan.seed = ++seed;
                        plan.nodeFault = static_cast<NodeFault>(nodeFault);
                        plan.step = static_cast<ProtocolStep>(step);
                        plan.occurrence = plan.step == ProtocolStep::Tick ? seed % 400 : seed % 3;
                        plan.storeFault = static_cast<StoreFault>(fault);
                        plan.storeStep = storeStep;
                        plan.storeFaultEvery = StoreFaultEvery[seed % StoreFaultEvery.size()];
                        visit(plan);
                    }
                }
            }
        }
    }
}

TEST(ClaimEnumerationTest, NoFaultAtAnyStepRunsACallTwiceOrDeniesARun)
{
    Totals totals;
    forEachPlan(8, [&totals](const FaultPlan &plan) { totals.add(plan); });
    totals.print();
    EXPECT_TRUE(totals.violations.empty()) << totals.firstViolation;
    EXPECT_GT(totals.executions, totals.runs / 2);
    EXPECT_GE(totals.runs, 10000U);
    for (std::size_t step = 0; step < StepCount; ++step) {
        EXPECT_GT(totals.nodeFaults[step], 0U) << StepNames[step];
    }
    for (const ProtocolStep step : WriteSteps) {
        EXPECT_GT(totals.storeFaults[static_cast<std::size_t>(step)], 0U);
    }
}

/** A mistake and the invariant that it breaks. */
struct MistakeCase
{
    Mistake mistake = Mistake::None;
    std::string violation;
};

class ClaimMistakeTest : public testing::TestWithParam<MistakeCase>
{
};

TEST_P(ClaimMistakeTest, IsFound)
{
    Totals totals;
    forEachPlan(2, [&totals](FaultPlan plan) {
        plan.mistake = GetParam().mistake;
        totals.add(plan);
    });
    const std::uint64_t found = totals.violations[GetParam().violation];
    std::cout << found << " of " << totals.runs << " interleavings show that " << GetParam().violation << "\n";
    EXPECT_GT(found, 0U);
}

INSTANTIATE_TEST_SUITE_P(EveryMistake,
                         ClaimMistakeTest,
                         testing::Values(MistakeCase { Mistake::DispatchesAbandoned, RanTwice },
                                         MistakeCase { Mistake::SaysNotRunUnmarked, RunDenied },
                                         MistakeCase { Mistake::TakesUnreachableForAbandoned, RanTwice },
                                         MistakeCase { Mistake::TakesUnreachableForAbandoned, OtherAnswer },
                                         MistakeCase { Mistake::ClaimsUnconditionally, RanTwice },
                                         MistakeCase { Mistake::SaysNotRunUnread, RunDenied }));

} // namespace
} // namespace GeraniumLever
