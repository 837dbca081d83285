#include "development/bench/bench_shape.h"

namespace GeraniumLever {

namespace {

RequestClass classOf(const std::string &name, std::uint32_t tier, Duration firstToken, Duration gap, Duration deadline)
{
    RequestClass requestClass;
    requestClass.name = ClassName(name);
    requestClass.tier = tier;
    requestClass.firstTokenTarget = firstToken;
    requestClass.tokenGapTarget = gap;
    requestClass.defaultDeadline = deadline;
    return requestClass;
}

TrafficSource liveSource(const std::string &name, double rate)
{
    TrafficSource source;
    source.requestClass =
        classOf(name, 0, std::chrono::milliseconds(880), std::chrono::milliseconds(43), std::chrono::seconds(10));
    source.rate = rate;
    source.promptMedian = 600.0;
    source.outputMedian = 120.0;
    source.patience = std::chrono::seconds(5);
    return source;
}

TrafficSource shortSource(const std::string &name, double rate, double prompt, double output)
{
    TrafficSource source;
    source.requestClass =
        classOf(name, 1, std::chrono::seconds(2), std::chrono::milliseconds(60), std::chrono::seconds(20));
    source.rate = rate;
    source.promptMedian = prompt;
    source.outputMedian = output;
    source.outputSigma = 0.3;
    source.sharedBlocks = 2;
    source.patience = std::chrono::seconds(60);
    return source;
}

TrafficSource longSource(const std::string &name, double rate, double prompt, double output)
{
    TrafficSource source;
    source.requestClass =
        classOf(name, 2, std::chrono::seconds(30), std::chrono::milliseconds(100), std::chrono::seconds(120));
    source.requestClass.preemptible = true;
    source.rate = rate;
    source.promptMedian = prompt;
    source.outputMedian = output;
    source.sharedBlocks = 20;
    source.patience = std::chrono::seconds(300);
    return source;
}

} // namespace

BenchShape monthEndShape()
{
    BenchShape shape;
    shape.name = "month-end";
    shape.engines = 10;
    // Ten engines of eight seats write about 2.5 letters a second.
    shape.sources = { liveSource("live", 5.0),
                      shortSource("sort", 10.0, 300.0, 20.0),
                      longSource("letter", 7.5, 6000.0, 900.0) };
    return shape;
}

BenchShape afterSchoolShape()
{
    BenchShape shape;
    shape.name = "after-school";
    shape.engines = 20;
    shape.sources = { liveSource("chat", 8.0),
                      shortSource("ticket", 3.0, 200.0, 60.0),
                      longSource("review", 3.0, 8000.0, 1000.0) };
    shape.sources.front().burstFactor = 3.0;
    shape.sources[1].requestClass.idempotent = false;
    shape.burstFrom = 0.2;
    shape.burstTo = 0.8;
    return shape;
}

BenchShape liveOverloadShape()
{
    BenchShape shape;
    shape.name = "live-overload";
    shape.engines = 10;
    // Ten engines of eight seats answer about 19 live questions a second.
    shape.sources = { liveSource("live", 21.0), longSource("letter", 1.0, 6000.0, 900.0) };
    return shape;
}

std::vector<BenchShape> allShapes()
{
    return { monthEndShape(), afterSchoolShape(), liveOverloadShape() };
}

std::string faultName(BenchFault fault)
{
    switch (fault) {
    case BenchFault::None:
        return "none";
    case BenchFault::Straggler:
        return "straggler";
    case BenchFault::Crash:
        return "crash";
    case BenchFault::LaggingReports:
        return "lag";
    case BenchFault::Takeover:
        return "takeover";
    }
    return "none";
}

std::vector<BenchFault> allFaults()
{
    return {
        BenchFault::None, BenchFault::Straggler, BenchFault::Crash, BenchFault::LaggingReports, BenchFault::Takeover
    };
}

} // namespace GeraniumLever
