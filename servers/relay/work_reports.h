/** What relays tell each other of the work that they have at engines. */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Work at one engine. */
struct UpstreamWork
{
    /** Hash of the engine's name. */
    std::uint32_t upstream = 0;
    std::uint32_t requests = 0;
    /** Prompt tokens and most answer tokens of these requests. */
    std::uint32_t tokens = 0;
    /** Prompt tokens that the engine has still to read before it can answer. */
    std::uint32_t unreadTokens = 0;
    /** Requests that wait for room there. */
    std::uint32_t waiting = 0;

    auto operator<=>(const UpstreamWork &) const = default;
};

/** Work lately sent to engines for requests that bear the same pauses. */
struct PauseDemand
{
    std::uint32_t pauseMilliseconds = 0;
    /** Prompt tokens to read and answer tokens to make, as prompt tokens; decays with time. */
    std::uint64_t work = 0;

    auto operator<=>(const PauseDemand &) const = default;
};

/** What one node or many have at engines. */
struct WorkAccount
{
    std::vector<UpstreamWork> upstreams;
    std::vector<PauseDemand> demands;

    bool empty() const { return upstreams.empty() && demands.empty(); }

    auto operator<=>(const WorkAccount &) const = default;
};

/** A whole account; it replaces the sender's last one, so that lost reports do no harm. */
struct WorkReport
{
    NodeName node;
    std::uint64_t incarnation = 0;
    /** Grows with each report of one incarnation. */
    std::uint64_t sequence = 0;
    /** False for the node's own work; true for the sum of what nodes have reported to the sender. */
    bool collected = false;
    WorkAccount work;

    auto operator<=>(const WorkReport &) const = default;
};

/** Answer to a node's report: the work of all other nodes that are known to the collector. */
struct WorkTotals
{
    NodeName collector;
    /** Of the report that is answered. */
    std::uint64_t sequence = 0;
    WorkAccount others;

    auto operator<=>(const WorkTotals &) const = default;
};

/** Reports are sent at this period while there is work. */
constexpr Duration WorkReportPeriod = std::chrono::milliseconds(200);

} // namespace GeraniumLever
