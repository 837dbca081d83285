/** geranium-slopes: measures how the cost of each role grows with each size. */

#include <cstdio>

#include "development/slopes/linear_fit.h"
#include "development/slopes/slope_cases.h"

namespace {

using namespace GeraniumLever;

void runCase(const SlopeCase &slopeCase)
{
    std::vector<SlopePoint> points;
    std::printf("%s (%s by %s)\n", slopeCase.name.c_str(), slopeCase.costUnit.c_str(), slopeCase.sizeUnit.c_str());
    for (const double size : slopeCase.sizes) {
        const double cost = slopeCase.measure(static_cast<std::size_t>(size));
        points.push_back({ size, cost });
        std::printf("  %8.0f  %12.2f\n", size, cost);
    }
    const LinearFit fit = fitLine(points);
    std::printf("  fit: %.3f + %.5f * size, worst point %.0f %% off\n\n", fit.base, fit.slope, 100 * fit.worstResidual);
    std::fflush(stdout);
}

} // namespace

int main()
{
    for (const SlopeCase &slopeCase : slopeCases()) {
        runCase(slopeCase);
    }
    return 0;
}
