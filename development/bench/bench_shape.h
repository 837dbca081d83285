/** Traffic shapes and faults that the policy bench replays. */
#pragma once

#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Traffic of one class. Lengths are lognormal. */
struct TrafficSource
{
    RequestClass requestClass;
    /** Requests per second outside the burst. */
    double rate = 1.0;
    /** Factor of the rate during the burst. */
    double burstFactor = 1.0;
    double promptMedian = 500.0;
    double promptSigma = 0.5;
    double outputMedian = 100.0;
    double outputSigma = 0.6;
    /** Blocks of the prompt that all requests of one team share. */
    std::uint32_t sharedBlocks = 4;
    /** A caller without any token leaves after this. */
    Duration patience = std::chrono::seconds(30);
};

/** Speeds of a model engine. */
struct EngineSpeeds
{
    std::uint32_t seats = 8;
    /** Prompt tokens per second. */
    double prefillRate = 8000.0;
    /** Seconds between tokens of an attempt that is alone. */
    double baseGap = 0.018;
    /** Seconds added by each further attempt in the batch. */
    double gapPerAttempt = 0.0012;
    /** Factor of the gap while the engine computes a prompt. */
    double prefillInterference = 1.3;
    /** Prefix blocks that fit into its cache. */
    std::size_t cacheBlocks = 2000;
};

/** What goes wrong during a run. */
enum class BenchFault : std::uint8_t {
    None,
    /** One engine is four times slower from a fifth of the run on. */
    Straggler,
    /** One engine crashes at two fifths of the run and is back 30 s later. */
    Crash,
    /** Load reports are 5 s old. */
    LaggingReports,
    /** The scheduler falls silent in the middle; ingresses notice at different times, so that for a while two grant. */
    Takeover,
};

/** One user's traffic in one data centre. */
struct BenchShape
{
    std::string name;
    std::uint32_t engines = 10;
    EngineSpeeds speeds;
    std::vector<TrafficSource> sources;
    /** The burst, as shares of the run. */
    double burstFrom = 0.0;
    double burstTo = 1.0;
};

/** Month-end run: arrears letters at three times the capacity, treasurers' live questions, sorting of bank lines. */
BenchShape monthEndShape();

/** After-school rush: history reviews, counter chat at three times its usual rate, job tickets. */
BenchShape afterSchoolShape();

/** Live questions alone at a tenth above the capacity, next to letters: shows whether the lowest tier is still served.
 */
BenchShape liveOverloadShape();

/** All shapes. */
std::vector<BenchShape> allShapes();

/** Name as on the command line. */
std::string faultName(BenchFault fault);

/** All faults, None first. */
std::vector<BenchFault> allFaults();

} // namespace GeraniumLever
