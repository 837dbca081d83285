/** Seeded arrivals of a shape. The same seed gives the same requests to every policy. */
#pragma once

#include <vector>

#include "development/bench/bench_shape.h"

namespace GeraniumLever {

/** One request, as generated. */
struct BenchRequest
{
    RequestId request;
    std::size_t source = 0;
    TeamName team;
    /** Since the start of the run. */
    Duration arrival { 0 };
    std::uint32_t promptTokens = 0;
    std::uint32_t outputTokens = 0;
    /** All blocks of the prompt, as engines cache them; schedulers are told of the first MaxPrefixBlocks only. */
    std::vector<std::uint64_t> blockHashes;
};

/** The teams of a shape: ten, a few of them large. */
std::vector<Team> benchTeams();

/** All requests of a run in order of arrival, and those of some further time at the rates at its end. */
std::vector<BenchRequest> generateRequests(const BenchShape &shape,
                                           Duration length,
                                           Duration background,
                                           std::uint64_t seed);

} // namespace GeraniumLever
