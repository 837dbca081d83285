#include "development/bench/bench_result.h"

#include <algorithm>

namespace GeraniumLever {

double BenchResult::goodput() const
{
    std::uint64_t inTarget = 0;
    for (const ClassResult &result : classes) {
        inTarget += result.inTarget;
    }
    return static_cast<double>(inTarget) / std::chrono::duration<double>(length).count();
}

double BenchResult::wastedShare() const
{
    double sum = 0.0;
    for (const auto &[cause, tokens] : wasted) {
        sum += tokens;
    }
    return sum / std::max(1.0, static_cast<double>(generatedTokens));
}

} // namespace GeraniumLever
