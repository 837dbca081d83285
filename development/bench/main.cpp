/**
 * geranium-bench: replays traffic shapes and faults against the scheduler and simple baselines on a stepped clock, and
 * measures the scheduler's processor time.
 */
#include <iostream>

#include <cxxopts.hpp>

#include "development/bench/bench_report.h"
#include "development/bench/cost_bench.h"
#include "development/bench/simulation.h"

namespace GeraniumLever {
namespace {

struct BenchOptions
{
    std::string shape;
    std::string fault;
    std::string policy;
    Duration length { 0 };
    std::uint64_t seeds = 5;
    bool csv = false;
};

BenchSeries runSeries(const BenchShape &shape, BenchFault fault, const std::string &policy, const BenchOptions &options)
{
    BenchSeries series { shape.name, faultName(fault), policy, {} };
    for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
        Simulation simulation(BenchRun { shape, fault, policy, options.length, seed });
        series.results.push_back(simulation.run());
    }
    return series;
}

/** Returns the number of violated invariants. */
std::size_t runAll(const BenchOptions &options)
{
    std::size_t violations = 0;
    if (options.csv) {
        printCsvHead(std::cout);
    }
    for (const BenchShape &shape : allShapes()) {
        for (const BenchFault fault : allFaults()) {
            for (const std::string &policy : policyNames()) {
                const bool wanted = (options.shape.empty() || options.shape == shape.name)
                    && (options.fault.empty() || options.fault == faultName(fault))
                    && (options.policy.empty() || options.policy == policy);
                if (!wanted) {
                    continue;
                }
                const BenchSeries series = runSeries(shape, fault, policy, options);
                options.csv ? printCsv(std::cout, series) : printTable(std::cout, series);
                for (const BenchResult &result : series.results) {
                    violations += result.violations.size();
                }
            }
        }
    }
    return violations;
}

} // namespace
} // namespace GeraniumLever

int main(int argc, char **argv)
{
    cxxopts::Options options("geranium-bench", "Policy bench of the scheduler. Seeds are 1 to N.");
    options.add_options()("shape",
                          "month-end, after-school or live-overload; all if absent",
                          cxxopts::value<std::string>()->default_value(""))(
        "fault",
        "none, straggler, crash, lag or takeover; all if absent",
        cxxopts::value<std::string>()->default_value(""))("policy",
                                                          "geranium, fifo, strict or round-robin; all if absent",
                                                          cxxopts::value<std::string>()->default_value(""))(
        "seconds", "Simulated seconds of arrivals", cxxopts::value<long>()->default_value("300"))(
        "seeds", "Number of seeds", cxxopts::value<std::uint64_t>()->default_value("5"))(
        "csv", "Comma-separated output")("cost", "Measure processor time per slot request instead")(
        "cost-requests", "Requests of a cost measurement", cxxopts::value<std::size_t>()->default_value("20000"))(
        "help", "Print this text");
    const cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
        std::cout << options.help();
        return 0;
    }
    if (parsed.count("cost") > 0) {
        GeraniumLever::printSchedulerCost(std::cout, parsed["cost-requests"].as<std::size_t>());
        return 0;
    }
    GeraniumLever::BenchOptions bench;
    bench.shape = parsed["shape"].as<std::string>();
    bench.fault = parsed["fault"].as<std::string>();
    bench.policy = parsed["policy"].as<std::string>();
    bench.length = std::chrono::seconds(parsed["seconds"].as<long>());
    bench.seeds = parsed["seeds"].as<std::uint64_t>();
    bench.csv = parsed.count("csv") > 0;
    return GeraniumLever::runAll(bench) == 0 ? 0 : 1;
}
