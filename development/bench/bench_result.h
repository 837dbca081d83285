/** Figures of one run. */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

struct ClassResult
{
    ClassName name;
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
    /** First token within its target, whether or not the rest was. */
    std::uint64_t firstTokenMet = 0;
    /** First token and mean token gap within their targets, and completed. */
    std::uint64_t inTarget = 0;
    std::uint64_t refused = 0;
    /** Refused only when the deadline had come. */
    std::uint64_t refusedAtDeadline = 0;
    /** The caller left before the first token. */
    std::uint64_t left = 0;
    std::uint64_t pauses = 0;
    /** Longest time from a request for a seat to its answer. */
    Duration longestWait { 0 };
    /** Longest time in which requests waited and none was granted. */
    Duration longestUnserved { 0 };
};

struct BenchResult
{
    std::vector<ClassResult> classes;
    Duration length { 0 };
    std::uint64_t generatedTokens = 0;
    /** Work that nobody uses, in generated tokens of equal engine time, by cause. */
    std::map<std::string, double> wasted;
    /** Invariants that did not hold; empty for a correct run. */
    std::vector<std::string> violations;

    /** Requests completed within their target per second. */
    double goodput() const;

    /** Wasted work as a share of the generated tokens. */
    double wastedShare() const;
};

} // namespace GeraniumLever
