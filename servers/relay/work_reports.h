/** Messages in which relays report the work that they have at engines. */
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
    /** Prompt tokens plus maximum answer tokens of these requests. */
    std::uint32_t tokens = 0;
    /** Prompt tokens that the engine must still prefill before it can answer. */
    std::uint32_t unreadTokens = 0;
    /** Requests that wait for free capacity there. */
    std::uint32_t waiting = 0;

    auto operator<=>(const UpstreamWork &) const = default;
};

/** Work recently sent to engines for requests with the same token gap target. */
struct PauseDemand
{
    std::uint32_t pauseMilliseconds = 0;
    /** Prompt tokens to prefill plus answer tokens to generate, converted to the equivalent number of prompt tokens;
     *  decays with time. */
    std::uint64_t work = 0;

    auto operator<=>(const PauseDemand &) const = default;
};

/** Work of one or more nodes at engines. */
struct WorkAccount
{
    std::vector<UpstreamWork> upstreams;
    std::vector<PauseDemand> demands;

    bool empty() const { return upstreams.empty() && demands.empty(); }

    auto operator<=>(const WorkAccount &) const = default;
};

/** A complete account that replaces the sender's previous one, so that lost reports do no harm. */
struct WorkReport
{
    NodeName node;
    std::uint64_t incarnation = 0;
    /** Increases with each report of one incarnation. */
    std::uint64_t sequence = 0;
    /** False for the node's own work; true for the total of what nodes have reported to the sender. */
    bool collected = false;
    WorkAccount work;

    auto operator<=>(const WorkReport &) const = default;
};

/** Answer to a node's report: the total work of all other nodes known to the collector. */
struct WorkTotals
{
    NodeName collector;
    /** Sequence of the report that is answered. */
    std::uint64_t sequence = 0;
    WorkAccount others;
    /** Sequence of the node's newest report of origins that the collector has stored; 0 if there is none. */
    std::uint64_t storedOrigins = 0;

    auto operator<=>(const WorkTotals &) const = default;
};

/** Interval at which reports are sent while there is work. */
constexpr Duration WorkReportPeriod = std::chrono::milliseconds(200);

} // namespace GeraniumLever
