#include "servers/scheduling/peak_window.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

std::int64_t secondOf(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

void PeakWindow::record(std::uint32_t value, TimePoint now)
{
    const std::int64_t number = secondOf(now);
    Second &second = seconds_[static_cast<std::size_t>(number) % WindowSeconds];
    if (second.number != number) {
        second = Second { number, 0 };
    }
    second.largest = std::max(second.largest, value);
}

std::uint32_t PeakWindow::peak(TimePoint now) const
{
    const std::int64_t number = secondOf(now);
    std::uint32_t largest = 0;
    for (const Second &second : seconds_) {
        if (second.number > number - static_cast<std::int64_t>(WindowSeconds)) {
            largest = std::max(largest, second.largest);
        }
    }
    return largest;
}

} // namespace GeraniumLever
