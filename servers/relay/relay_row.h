/** One row of the relay's request table. */
#pragma once

#include <map>
#include <optional>
#include <set>

#include "servers/relay/give_up_reason.h"
#include "servers/relay/relay_messages.h"
#include "servers/routing/routing.h"

namespace GeraniumLever {

/** Identifies a queue of waiting requests: one per pool, and a separate one for requests that have engines of their
 *  own. */
struct QueueKey
{
    PoolName pool;
    bool separate = false;

    auto operator<=>(const QueueKey &) const = default;
};

enum class RelayPhase : std::uint8_t {
    /** Continues a stream; it is being found out where it began. */
    Locating,
    /** Has no upstream. */
    Waiting,
    /** Sent to an upstream; none of its response has been forwarded. */
    Sent,
    /** Part of the response has been forwarded. */
    Answering,
};

/** A silent attempt that goes on for a short time beside the one that is to replace it. */
struct StandbyAttempt
{
    AttemptId attempt;
    UpstreamIdentity upstream;
    std::string upstreamVersion;
    RelayPhase phase = RelayPhase::Sent;
    TimePoint dispatchedAt;
    TimePoint progressAt;
    std::uint32_t unreadTokens = 0;
    /** When it ends even if its replacement has not begun. */
    TimePoint endsAt;

    auto operator<=>(const StandbyAttempt &) const = default;
};

/** State of one relayed request. */
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
    /** Time by which the final response is due: the caller's deadline or the route's timeout, whichever is earlier. */
    TimePoint deadline;

    RelayPhase phase = RelayPhase::Waiting;
    /** The queue in which it waits, or would wait. */
    QueueKey queueKey;
    /** Engine that it waits for; empty if any will do. */
    UpstreamName awaitedEngine;
    TimePoint waitSince;
    /** If the request still has no upstream at this time, it is given up. */
    TimePoint waitUntil;
    AttemptId attempt;
    UpstreamIdentity upstream;
    /** Software version of the attempt's upstream. */
    std::string upstreamVersion;
    /** The version that began the stream, and the only one that may continue it; absent before it has begun. */
    std::optional<std::string> streamVersion;
    TimePoint dispatchedAt;
    /** Estimated prompt tokens that the attempt's upstream has yet to prefill. */
    std::uint32_t unreadTokens = 0;
    /** When the last part of the response arrived. */
    TimePoint progressAt;
    /** The attempt before, as long as the current one may still turn out to be impossible. */
    std::optional<StandbyAttempt> standby;
    /** True while the upstream is silent for longer than expected. */
    bool isSilent = false;
    std::optional<Duration> firstByte;
    /** Longest time between two parts of the response. */
    Duration longestGap { 0 };
    /** True if the response that the caller receives can be resumed at another upstream. */
    bool resumable = false;
    /** Of the last response that was forwarded. */
    BodyFraming framing = BodyFraming::Length;
    bool connectionReused = false;
    /** True if that response is a success. */
    bool succeeded = false;
    /** Attempts that may have reached an upstream, including the current one. */
    std::uint32_t attempts = 0;
    /** Attempts that failed to connect to an upstream. */
    std::uint32_t failedConnects = 0;
    /** Number of these attempts at each upstream. */
    std::map<UpstreamName, std::uint32_t> attemptsByUpstream;
    /** Upstreams where an attempt has failed. */
    std::set<UpstreamName> failedUpstreams;
    /** True if an earlier attempt may have run. */
    bool mayHaveRun = false;
    /** The caller has disconnected; the response is discarded. */
    bool callerGone = false;
    /** The caller has not read enough of the response; no attempt's response is read. */
    bool callerBacklogged = false;
    /** Why the last attempt failed. */
    ResultCode lastFailure = ResultCode::Ok;
    /** Absent unless the request is given up. */
    std::optional<GiveUpReason> givenUpFor;

    /** True if the request may be sent again even though an attempt may have run. */
    bool isRetryable() const { return route->isIdempotent || route->resumable; }

    bool isOnStandby(const AttemptId &other) const { return standby.has_value() && standby->attempt == other; }

    /** Of the current attempt or the one on standby. */
    const UpstreamIdentity &upstreamOf(const AttemptId &other) const
    {
        return isOnStandby(other) ? standby->upstream : upstream;
    }

    bool hasUpstream() const { return phase == RelayPhase::Sent || phase == RelayPhase::Answering; }

    /** True if the request takes up a stream that an earlier request of the caller began. */
    bool takesUpStream() const { return route->streamed && route->resumable && !request.lastEventId.empty(); }

    /** Identifies the stream among all nodes: the caller's identifier for the request that began it, as far as it is
     *  known. */
    const std::string &stream() const
    {
        return takesUpStream() && !request.resumedRequest.empty() ? request.resumedRequest : request.callerId;
    }

    /** True if the request begins a stream that can be resumed, so that its origin matters. */
    bool beginsResumableStream() const { return route->streamed && route->resumable && !streamVersion.has_value(); }

    /** Time within which the caller may take the stream up again. */
    Duration streamLifetime() const { return route->timeout * 2; }

    /** True if the first part of the response came after the route's target. */
    bool beganLate() const { return firstByte.has_value() && *firstByte > route->target; }

    /** True if two parts of the response were further apart than the route's target. */
    bool hadLongGap() const { return route->gapTarget.has_value() && longestGap > *route->gapTarget; }

    std::uint32_t tokens() const { return request.prompt.promptTokens + request.prompt.outputTokens; }
};

/** Metrics of one finished request. */
struct RelayRequestMetrics
{
    std::uint32_t tier = 0;
    Outcome outcome = Outcome::NotRun;
    ResultCode code = ResultCode::Ok;
    std::optional<Duration> firstByte;
    Duration total { 0 };
    std::uint32_t attempts = 0;
    std::optional<GiveUpReason> givenUpFor = std::nullopt;

    auto operator<=>(const RelayRequestMetrics &) const = default;
};

} // namespace GeraniumLever
