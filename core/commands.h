/** Everything that a node's logic asks its adapters to do, as values. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/error.h"
#include "core/events.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/peer_messages.h"
#include "core/store_types.h"
#include "core/unique_id.h"

namespace GeraniumLever {

/** Begins the answer to a caller. */
struct ReplyHead
{
    RequestId request;
    unsigned status = 200;
    std::string contentType;
    /** True if the body follows as server-sent events of unknown number; Outcome then comes in the last event. */
    bool streamed = false;
    /** Sent as Geranium-Outcome if the answer is not streamed. */
    std::optional<Outcome> outcome;
    /** True if a recorded answer is being repeated. */
    bool replayed = false;
    /** Sent as Retry-After, rounded up to whole seconds. */
    std::optional<Duration> retryAfter;

    auto operator<=>(const ReplyHead &) const = default;
};

/** Part of the answer: for a streamed answer the data of one server-sent event, else bytes of the body. */
struct ReplyData
{
    RequestId request;
    std::string data;

    auto operator<=>(const ReplyData &) const = default;
};

/** The answer is whole. */
struct ReplyEnd
{
    RequestId request;

    auto operator<=>(const ReplyEnd &) const = default;
};

/** Final error of a request: a whole error answer, or, after ReplyHead, an error event that ends the stream. */
struct ReplyError
{
    RequestId request;
    Error error;
    Outcome outcome = Outcome::NotRun;

    bool operator==(const ReplyError &) const = default;
};

/** Sends a request to an upstream, or forwards it to a node of another data centre. */
struct UpstreamDispatch
{
    AttemptId attempt;
    RequestId request;
    /** The upstream, or the node that the request is forwarded to. */
    std::string target;
    /** "a.b.c.d:port". */
    std::string address;
    std::string method;
    /** Path and query. */
    std::string path;
    std::string contentType;
    std::string body;
    /** Further fields, for example the class of a forwarded request. */
    std::vector<HeaderField> headers;
    /** Tier, sent as the engine's priority. */
    std::uint32_t priority = 0;
    /** True if the answer is a stream of server-sent events. */
    bool streamed = false;
    /** True if a pooled connection must not be used. */
    bool freshConnection = false;
    /** Longest silence that is still normal. */
    Duration silenceLimit = std::chrono::seconds(10);

    auto operator<=>(const UpstreamDispatch &) const = default;
};

/** Ends an attempt early; nothing further of it is reported. */
struct UpstreamCancel
{
    AttemptId attempt;

    auto operator<=>(const UpstreamCancel &) const = default;
};

/** Stops or resumes reading an attempt's answer, for backpressure. */
struct UpstreamReadControl
{
    AttemptId attempt;
    bool enabled = true;

    auto operator<=>(const UpstreamReadControl &) const = default;
};

/** Opens a new connection to an upstream and asks for its load. Answered by ProbeResult. */
struct UpstreamProbe
{
    UpstreamName upstream;
    std::string address;

    auto operator<=>(const UpstreamProbe &) const = default;
};

/** Sends a message to a peer; dropped if the peer is not connected, which PeerLost reports. */
struct PeerSend
{
    NodeName to;
    PeerMessage message;

    bool operator==(const PeerSend &) const = default;
};

/** The result of a ticket submission. */
struct TicketSubmissionResult
{
    OperationId operation;
    /** The accepted number, or why not, every fault in one message a line. */
    Result<TicketNumber> result;

    bool operator==(const TicketSubmissionResult &) const = default;
};

/** An order to an engine. Always absolute; the engine's state afterwards is read back. */
struct EngineOrder
{
    UpstreamName upstream;
    std::string address;
    FenceNumber fence;
    std::string modelVersion;
    std::string adapter;
    std::string role;

    auto operator<=>(const EngineOrder &) const = default;
};

/** One routing or placement decision, for the log and /admin/decisions. */
struct Decision
{
    /** What was decided, in snake_case: "grant", "refuse", "pause", "retry", "claim", "ticket", "order" ... */
    std::string kind;
    /** key=value fields in writing order. Values hold no blanks. */
    std::vector<std::pair<std::string, std::string>> fields;

    auto operator<=>(const Decision &) const = default;
};

/** Final figures of one request, for metrics. */
struct RequestMetrics
{
    ClassName requestClass;
    Outcome outcome = Outcome::NotRun;
    ResultCode code = ResultCode::Ok;
    /** From arrival to the first token or byte of the answer; absent if none arrived. */
    std::optional<Duration> firstToken;
    /** From arrival to the end. */
    Duration total { 0 };
    std::uint32_t tokens = 0;
    /** Tokens that were generated and that nobody can use. */
    std::uint32_t wastedTokens = 0;
    std::uint32_t attempts = 0;

    auto operator<=>(const RequestMetrics &) const = default;
};

/** The node may exit: nothing is in flight, or the stop limit has passed. */
struct StopCompleted
{
    auto operator<=>(const StopCompleted &) const = default;
};

using Command = std::variant<ReplyHead,
                             ReplyData,
                             ReplyEnd,
                             ReplyError,
                             UpstreamDispatch,
                             UpstreamCancel,
                             UpstreamReadControl,
                             UpstreamProbe,
                             PeerSend,
                             TableTransaction,
                             TableGet,
                             TableScan,
                             ObjectPut,
                             ObjectGet,
                             TicketSubmissionResult,
                             EngineOrder,
                             Decision,
                             RequestMetrics,
                             StopCompleted>;

/** Commands in the order in which they must be carried out. */
using Commands = std::vector<Command>;

} // namespace GeraniumLever
