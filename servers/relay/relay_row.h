/** One row of the relay's request table. */
#pragma once

#include <optional>
#include <set>

#include "servers/relay/relay_messages.h"
#include "servers/routing/routing.h"

namespace GeraniumLever {

/** A line in which requests wait: those of a pool, apart if they have engines of their own. */
struct WaitingLine
{
    PoolName pool;
    bool apart = false;

    auto operator<=>(const WaitingLine &) const = default;
};

enum class RelayPhase : std::uint8_t {
    /** Has no upstream. */
    Waiting,
    /** At an upstream, and none of its answer has been passed on. */
    Sent,
    /** Part of the answer has been passed on. */
    Answering,
};

/** Everything that a node knows of one relayed request. */
struct RelayRow
{
    RelayRequest request;
    /** The configuration under which the request was admitted. */
    RouteTablePtr table;
    const Route *route = nullptr;
    const PoolSettings *traits = nullptr;
    PoolName pool;
    TeamName team;
    std::uint32_t tier = 0;
    TimePoint arrivedAt;
    /** The final answer is due: the caller's deadline or the route's timeout. */
    TimePoint deadline;

    RelayPhase phase = RelayPhase::Waiting;
    /** Where it waits, or would wait. */
    WaitingLine line;
    /** Engine for which it waits; empty if any will do. */
    UpstreamName awaited;
    TimePoint waitSince;
    /** A waiting request without an upstream by then is given up. */
    TimePoint waitUntil;
    AttemptId attempt;
    UpstreamName upstream;
    TimePoint dispatchedAt;
    /** Prompt tokens that the upstream of the attempt has probably still to read. */
    std::uint32_t unreadTokens = 0;
    /** When the last part of the answer arrived. */
    TimePoint progressAt;
    std::optional<Duration> firstByte;
    /** Attempts that may have reached an upstream, the one under way included. */
    std::uint32_t attempts = 0;
    /** Attempts that never reached one. */
    std::uint32_t failedConnects = 0;
    /** Upstreams where an attempt has failed. */
    std::set<UpstreamName> tried;
    /** True if an attempt that has ended may have run. */
    bool mayHaveRun = false;
    /** The caller has left; the answer goes nowhere. */
    bool callerGone = false;
    /** Why the last attempt failed. */
    ResultCode cause = ResultCode::Ok;

    /** True if the request may be sent again although an attempt may have run. */
    bool isIdempotent() const { return route->isIdempotent || route->resumable; }

    std::uint32_t tokens() const { return request.prompt.promptTokens + request.prompt.outputTokens; }
};

/** Final figures of one relayed request, for metrics. */
struct RelayRequestMetrics
{
    std::uint32_t tier = 0;
    Outcome outcome = Outcome::NotRun;
    ResultCode code = ResultCode::Ok;
    std::optional<Duration> firstByte;
    Duration total { 0 };
    std::uint32_t attempts = 0;

    auto operator<=>(const RelayRequestMetrics &) const = default;
};

} // namespace GeraniumLever
