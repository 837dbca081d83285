/** Simulated clock of a scenario with its scheduled actions. */
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "core/core.h"

namespace GeraniumLever {

class Timeline
{
public:
    explicit Timeline(std::uint64_t seed) : random_(seed) { }

    TimePoint now() const { return clock_.now(); }

    /** Schedules an action. Actions that are due at the same time run in the order in which they were scheduled. */
    void after(Duration delay, std::function<void()> action)
    {
        due_.emplace(std::make_pair(now() + delay, ++count_), std::move(action));
    }

    /** Schedules an action with a delay that is jittered by up to a half, from the scenario's seed. */
    void afterJittered(Duration delay, std::function<void()> action)
    {
        constexpr double Spread = 0.5;
        after(random_.jittered(delay, Spread), std::move(action));
    }

    /** Advances the clock and runs the actions that are due. */
    void step(Duration step)
    {
        clock_.advance(step);
        while (!due_.empty() && due_.begin()->first.first <= now()) {
            std::function<void()> action = std::move(due_.begin()->second);
            due_.erase(due_.begin());
            action();
        }
    }

private:
    SteppedClock clock_;
    RandomSource random_;
    std::uint64_t count_ = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> due_;
};

} // namespace GeraniumLever
