/** Division of an upstream's request rate among nodes by time. */
#pragma once

#include <cstddef>
#include <cstdint>

#include "servers/routing/routing.h"

namespace GeraniumLever {

/**
 * The requests of a rate as numbered slots on the fleet's clock, which the nodes own in turn. A slot may be used for a
 * while after it has begun, so that it is seldom lost when no request arrives at once. Nodes that agree on the rate,
 * the number of nodes and the clock never use a slot twice; nodes that do not agree still use their share of the rate.
 */
class RequestSlots
{
public:
    /** rate: slots per second, above 0. nodes: at least 1. position: of this node in the order of turns, below nodes.
     */
    RequestSlots(double rate, std::size_t nodes, std::size_t position)
        : rate_(rate), nodes_(static_cast<std::int64_t>(nodes)), position_(static_cast<std::int64_t>(position))
    {
    }

    /** The last slot that has begun by then. */
    std::int64_t lastBegun(FleetTime time) const;

    /** The first slot of this node that can be used then or later, and comes after a used one. */
    std::int64_t firstUsable(FleetTime time, std::int64_t used) const;

    /** Number of slots of this node from the given one of its own up to the last that has begun by then. */
    std::size_t countBegun(std::int64_t first, FleetTime time) const;

    /** When a slot can no longer be used. */
    FleetTime endOf(std::int64_t slot) const;

    /** Slots from a window of this length in addition to its own may be used in it: in any four seconds at most
     *  5.5 s of the rate, which keeps a margin below one and a half times the rate for clocks that differ. */
    static constexpr Duration Lifetime = std::chrono::milliseconds(1500);

private:
    double rate_;
    std::int64_t nodes_;
    std::int64_t position_;
};

} // namespace GeraniumLever
