/** The measurements behind docs/CAPACITY.md: each varies one size and prints at least four points and their line. */
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace GeraniumLever {

/** One measured quantity. */
struct SlopeCase
{
    std::string name;
    /** What is varied, for example "teams". */
    std::string sizeUnit;
    /** What is measured, for example "us per ticket". */
    std::string costUnit;
    std::vector<double> sizes;
    double (*measure)(std::size_t size);
};

const std::vector<SlopeCase> &slopeCases();

} // namespace GeraniumLever
