/** Tracks the largest value of a count over the last seconds. */
#pragma once

#include <array>
#include <cstdint>

#include "core/core.h"

namespace GeraniumLever {

class PeakWindow
{
public:
    void record(std::uint32_t value, TimePoint now);

    /** The largest value recorded in the last WindowSeconds seconds; 0 if none was. */
    std::uint32_t peak(TimePoint now) const;

    bool operator==(const PeakWindow &) const = default;

private:
    static constexpr std::size_t WindowSeconds = 10;

    struct Second
    {
        /** Seconds since the clock's epoch; -1 if unused. */
        std::int64_t number = -1;
        std::uint32_t largest = 0;

        bool operator==(const Second &) const = default;
    };

    std::array<Second, WindowSeconds> seconds_ {};
};

} // namespace GeraniumLever
