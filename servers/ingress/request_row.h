/** One row of the ingress's request table. */
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/core.h"
#include "servers/ingress/answer_assembler.h"
#include "servers/ingress/completion_body.h"

namespace GeraniumLever {

/** Processing phase of a request. */
enum class RequestPhase : std::uint8_t {
    /** Non-idempotent: its key is being looked up in the table service. */
    LookingUp,
    /** Queued at a scheduler. An attempt that is silent goes on until the seat is granted. */
    WaitingForSeat,
    /** Non-idempotent: has a seat, its claim is being written. */
    Claiming,
    /** Sent to an upstream. */
    Running,
    /** The upstream stopped sending data and is being probed on a new connection. */
    Probing,
    /** Forwarded to a node of another data centre. */
    Forwarded,
    /** Non-idempotent and ended with an error: the key is read once more before "not run" is reported. */
    ConfirmingNotRun,
    /** Queries the status of a key, with GET /v1/requests/KEY. */
    QueryingStatus,
};

/** The running attempt of a request. */
struct RunningAttempt
{
    AttemptId attempt;
    UpstreamName upstream;
    ShardKey shard;
    TimePoint dispatchedAt;
    TimePoint progressDueAt;
    std::optional<Duration> firstToken;
    /** Tokens of this attempt only. */
    std::uint32_t tokens = 0;
    /** True once the caller has read too slowly during the attempt, which slows down the upstream's answer. */
    bool readerSlow = false;
    /** Set while the upstream has sent nothing for longer than the silence limit. */
    std::optional<TimePoint> silentSince;
    /** Nodes that track the attempt: the scheduler that granted it, and those it was registered with. */
    std::set<NodeName> trackingNodes;
};

/** State of one request at a node. */
struct RequestRow
{
    CallerRequest call;
    TeamName team;
    RequestClass requestClass;
    PoolName pool;
    /** Absent for a plain service. */
    std::optional<CompletionBody> completion;
    std::uint32_t promptTokens = 0;
    std::vector<std::uint64_t> prefixHashes;
    TimePoint arrivedAt;
    /** Latest time at which the request may be started. */
    TimePoint deadline;

    RequestPhase phase = RequestPhase::WaitingForSeat;
    ShardKey shard;
    /** The scheduler that a seat was last requested from. */
    NodeName scheduler;
    RunningAttempt running;
    AnswerAssembler answer;
    /** Body of an unstreamed answer, from a plain service or from the node that the request was forwarded to. */
    std::string body;
    UpstreamHead head;
    std::vector<UpstreamName> excluded;
    /** Start of the last look-up that found no run under the key. */
    std::optional<TimePoint> keyReadAt;
    /** The error that ends the request, in phase ConfirmingNotRun. */
    Error pendingError;
    /** Time from arrival to the first token or byte of the first attempt that produced one. */
    std::optional<Duration> firstToken;
    std::uint32_t attempts = 0;
    /** True if any byte may have reached an upstream. */
    bool mayHaveReachedUpstream = false;
    /** True once the head of a stream was sent to the caller. */
    bool headSent = false;
    bool callerGone = false;
    bool paused = false;
    bool wasForwarded = false;
    /** Value of mayHaveReachedUpstream before the request was forwarded. */
    bool reachedUpstreamBeforeForward = false;
    /** Time at which the request last joined a scheduler's queue, or forwarding was last considered for it. */
    TimePoint waitingSince;

    /** True if the answer has reached the caller's token limit. */
    bool atTokenLimit() const
    {
        return completion.has_value() && completion->maxTokens() > 0 && answer.tokens() >= completion->maxTokens();
    }

    /** True if an attempt is open whose upstream is silent. */
    bool hasSilentAttempt() const { return running.silentSince.has_value(); }

    bool streamed() const { return completion.has_value() && completion->streamed(); }
};

} // namespace GeraniumLever
