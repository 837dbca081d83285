/** One run of a policy over a shape: callers, ingresses and engines around the policy, on a stepped clock. */
#pragma once

#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include "development/bench/bench_policy.h"
#include "development/bench/bench_result.h"
#include "development/bench/engine_model.h"
#include "development/bench/invariant_checker.h"
#include "development/bench/simulated_request.h"
#include "development/bench/workload.h"

namespace GeraniumLever {

/** What to run. */
struct BenchRun
{
    BenchShape shape;
    BenchFault fault = BenchFault::None;
    std::string policy;
    Duration length { 0 };
    std::uint64_t seed = 1;
};

class Simulation
{
public:
    explicit Simulation(const BenchRun &run);

    /** Runs to the end, and on until what is under way has ended. */
    BenchResult run();

private:
    struct Ingress
    {
        NodeName name;
        /** Index of the policy instance that it talks to. */
        std::size_t scheduler = 0;
    };

    struct DatedReport
    {
        TimePoint due;
        LoadReport report;
    };

    struct DatedCacheEvent
    {
        TimePoint due;
        CacheEvent event;
    };

    void makeCatalog();
    Duration elapsed() const { return clock_.now() - start_; }
    double progressOfRun() const;
    BenchPolicy &schedulerOf(const SimulatedRequest &request);
    void tickSchedulers();
    void deliverAll();
    void applyFaults();
    void crashEngine(std::size_t engine);
    void switchScheduler(std::size_t ingress, bool oldAlive);
    void arrivals();
    void ask(SimulatedRequest &request, Duration timeLeft, bool retry, bool resumes);
    void deliver(std::size_t scheduler);
    void granted(SimulatedRequest &request, const SlotGrant &grant, std::size_t scheduler);
    void refused(SimulatedRequest &request, const SlotRefusal &refusal);
    void paused(SimulatedRequest &request, const AttemptPause &pause);
    void lost(SimulatedRequest &request, AttemptEnding ending);
    void leaveImpatient(SimulatedRequest &request);
    void stepEngines();
    void progressed(const EngineOutput &output);
    void completed(SimulatedRequest &request);
    void endAttempt(SimulatedRequest &request, AttemptEnding ending);
    void finish(SimulatedRequest &request);
    void reportLoads();
    void deliverReports();
    void checkWaits();
    void waste(const std::string &cause, double generatedTokens, double promptTokens);
    const TrafficSource &sourceOf(const SimulatedRequest &request) const;
    ClassResult &resultOf(const SimulatedRequest &request);

    BenchRun run_;
    SteppedClock clock_;
    TimePoint start_;
    CatalogPtr catalog_;
    RandomSource random_;
    std::vector<BenchRequest> requests_;
    std::size_t nextArrival_ = 0;
    /** Requests that have arrived and are not over, by sequence number. */
    Table<std::uint64_t, SimulatedRequest> active_;
    std::unordered_map<AttemptId, std::uint64_t> byAttempt_;
    std::vector<EngineModel> engines_;
    std::vector<UpstreamName> engineNames_;
    std::vector<bool> engineDown_;
    std::vector<std::uint64_t> cacheSequences_;
    std::vector<std::unique_ptr<BenchPolicy>> schedulers_;
    std::vector<Commands> commands_;
    std::vector<bool> schedulerAlive_;
    std::vector<Ingress> ingresses_;
    std::deque<DatedReport> reports_;
    std::deque<DatedCacheEvent> cacheEvents_;
    TimePoint nextReport_;
    std::vector<TimePoint> lastServed_;
    /** Requests of the measured part that are not over. */
    std::size_t measuredActive_ = 0;
    std::vector<ClassResult> backgroundClasses_;
    bool faultBegun_ = false;
    bool faultEnded_ = false;
    InvariantChecker checker_;
    BenchResult result_;
};

} // namespace GeraniumLever
