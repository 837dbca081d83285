/** Least-squares line through measured points. */
#pragma once

#include <vector>

namespace GeraniumLever {

/** One measurement. */
struct SlopePoint
{
    double size = 0;
    double cost = 0;

    auto operator<=>(const SlopePoint &) const = default;
};

/** cost = base + slope * size. */
struct LinearFit
{
    double base = 0;
    double slope = 0;
    /** Largest distance of a point from the line, as a share of the point's cost. */
    double worstResidual = 0;

    double at(double size) const { return base + slope * size; }

    auto operator<=>(const LinearFit &) const = default;
};

/** Requires at least two points of different size. */
LinearFit fitLine(const std::vector<SlopePoint> &points);

} // namespace GeraniumLever
