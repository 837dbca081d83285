#include "development/slopes/linear_fit.h"

#include <algorithm>
#include <cmath>

namespace GeraniumLever {

LinearFit fitLine(const std::vector<SlopePoint> &points)
{
    const double count = static_cast<double>(points.size());
    double sumSize = 0;
    double sumCost = 0;
    double sumSquares = 0;
    double sumProducts = 0;
    for (const SlopePoint &point : points) {
        sumSize += point.size;
        sumCost += point.cost;
        sumSquares += point.size * point.size;
        sumProducts += point.size * point.cost;
    }
    LinearFit fit;
    fit.slope = (count * sumProducts - sumSize * sumCost) / (count * sumSquares - sumSize * sumSize);
    fit.base = (sumCost - fit.slope * sumSize) / count;
    for (const SlopePoint &point : points) {
        const double residual = std::abs(fit.at(point.size) - point.cost) / std::max(std::abs(point.cost), 1e-9);
        fit.worstResidual = std::max(fit.worstResidual, residual);
    }
    return fit;
}

} // namespace GeraniumLever
