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

/** Where a request stands. */
enum class RequestPhase : std::uint8_t {
    /** Non-idempotent: its key is being looked up in the table service. */
    LookingUp,
    /** Queued at a scheduler. */
    WaitingForSeat,
    /** Non-idempotent: has a seat, its claim is being written. */
    Claiming,
    /** At an upstream. */
    Running,
    /** An upstream fell silent and is being probed on a new connection. */
    Probing,
    /** At a node of another data centre. */
    Forwarded,
    /** Non-idempotent and given up: the key is read once more before "not run" is said. */
    ConfirmingNotRun,
    /** A question about a key, with GET /v1/requests/KEY. */
    AskingStatus,
};

/** The attempt that is under way. */
struct RunningAttempt
{
    AttemptId attempt;
    UpstreamName upstream;
    ShardKey shard;
    TimePoint dispatchedAt;
    TimePoint progressDueAt;
    std::optional<Duration> firstToken;
    /** Tokens of this attempt alone. */
    std::uint32_t tokens = 0;
    /** True once the caller has read too slowly, which slows the upstream's answer down. */
    bool readerSlow = false;
    /** Nodes that count the attempt: the scheduler that granted it, and those it was registered with. */
    std::set<NodeName> countedBy;
};

/** Everything that a node knows of one request. */
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
    /** Latest start. */
    TimePoint deadline;

    RequestPhase phase = RequestPhase::WaitingForSeat;
    ShardKey shard;
    /** The scheduler that was asked last. */
    NodeName scheduler;
    RunningAttempt running;
    AnswerAssembler answer;
    /** Answer of a plain service, or of the node that the request was forwarded to. */
    std::string body;
    UpstreamHead head;
    std::vector<UpstreamName> excluded;
    /** When the key's row was last known not to have run. */
    std::optional<TimePoint> keyReadAt;
    /** Why the request was given up, in phase ConfirmingNotRun. */
    Error pendingError;
    /** From arrival to the first token or byte of the first attempt that gave one. */
    std::optional<Duration> firstToken;
    std::uint32_t attempts = 0;
    /** True if any byte may have reached an upstream. */
    bool begun = false;
    /** True once the caller has got the head of a stream. */
    bool headSent = false;
    bool callerGone = false;
    bool paused = false;
    bool spillTried = false;
    /** What begun was before the request was forwarded. */
    bool begunBeforeForward = false;
    /** When the request last joined a scheduler's queue, or another data centre was last considered for it. */
    TimePoint waitingSince;

    /** True if the answer has as many tokens as the caller allows. */
    bool atTokenLimit() const
    {
        return completion.has_value() && completion->maxTokens() > 0 && answer.tokens() >= completion->maxTokens();
    }

    bool streamed() const { return completion.has_value() && completion->streamed(); }
};

} // namespace GeraniumLever
