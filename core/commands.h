/** Output commands of a node's logic, which its adapters carry out, as value types. */
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

/** Starts the response to a caller. */
struct ReplyHead
{
    RequestId request;
    unsigned status = 200;
    std::string contentType;
    /** True if the body is streamed as server-sent events; the outcome is then part of the last event. */
    bool streamed = false;
    /** Sent as the Geranium-Outcome header if the response is not streamed. */
    std::optional<Outcome> outcome;
    /** True if a recorded response is replayed. */
    bool replayed = false;
    /** Sent as the Retry-After header, rounded up to whole seconds. */
    std::optional<Duration> retryAfter;

    auto operator<=>(const ReplyHead &) const = default;
};

/** Part of the response: the data of one server-sent event if it is streamed, else bytes of the body. */
struct ReplyData
{
    RequestId request;
    std::string data;

    auto operator<=>(const ReplyData &) const = default;
};

/** Completes the response to a caller. */
struct ReplyEnd
{
    RequestId request;

    auto operator<=>(const ReplyEnd &) const = default;
};

/** Final error of a request: a complete error response or, after ReplyHead, an error event that ends the stream. */
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
    /** Name of the upstream or of the node that the request is forwarded to. */
    std::string target;
    /** IP address and port, "a.b.c.d:port". */
    std::string address;
    std::string method;
    /** Path and query of the URL. */
    std::string path;
    std::string contentType;
    std::string body;
    /** Additional header fields, for example the class of a forwarded request. */
    std::vector<HeaderField> headers;
    /** Priority tier of the request, passed to the engine as its priority. */
    std::uint32_t priority = 0;
    /** True if the response is a stream of server-sent events. */
    bool streamed = false;
    /** True if a new connection must be opened instead of reusing a pooled one. */
    bool freshConnection = false;
    /** Time without any data transfer after which the attempt is reported as silent. */
    Duration silenceLimit = std::chrono::seconds(10);

    auto operator<=>(const UpstreamDispatch &) const = default;
};

/** Cancels an attempt; no further events of the attempt are reported. */
struct UpstreamCancel
{
    AttemptId attempt;

    auto operator<=>(const UpstreamCancel &) const = default;
};

/** Pauses or resumes reading the response to an attempt, for backpressure. */
struct UpstreamReadControl
{
    AttemptId attempt;
    bool enabled = true;

    auto operator<=>(const UpstreamReadControl &) const = default;
};

/** Queries the load of an upstream on a new connection. The result is reported by ProbeResult. */
struct UpstreamProbe
{
    UpstreamName upstream;
    std::string address;

    auto operator<=>(const UpstreamProbe &) const = default;
};

/** Sends a message to a peer. Dropped if the peer is not connected, which is reported by PeerLost. */
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
    /** Number of the accepted ticket, or the error, whose message has one line per fault. */
    Result<TicketNumber> result;

    bool operator==(const TicketSubmissionResult &) const = default;
};

/** Orders an engine to change to a model version, adapter and role. States the complete target state; the resulting
 *  state is read back from the engine. */
struct EngineOrder
{
    UpstreamName upstream;
    std::string address;
    /** Fencing token of the lease under which the order is sent. */
    FenceNumber fence;
    /** Required version of the model; empty means any version. */
    std::string modelVersion;
    /** Required adapter; empty means none. */
    std::string adapter;
    /** Required role; empty means that none is ordered. */
    std::string role;

    auto operator<=>(const EngineOrder &) const = default;
};

/** A routing or placement decision, for the log and /admin/decisions. */
struct Decision
{
    /** Kind of decision in snake_case, for example "grant", "refuse", "pause", "retry", "claim", "ticket" or "order".
     */
    std::string kind;
    /** Keys and values, written as key=value in this order. Values contain no blanks. */
    std::vector<std::pair<std::string, std::string>> fields;

    auto operator<=>(const Decision &) const = default;
};

/** Metrics of one finished request. */
struct RequestMetrics
{
    ClassName requestClass;
    Outcome outcome = Outcome::NotRun;
    ResultCode code = ResultCode::Ok;
    /** Time from arrival to the first token or byte of the response; absent if none arrived. */
    std::optional<Duration> firstToken;
    /** Time from arrival to the end of the request. */
    Duration total { 0 };
    std::uint32_t tokens = 0;
    /** Number of generated tokens that cannot be used. */
    std::uint32_t wastedTokens = 0;
    std::uint32_t attempts = 0;

    auto operator<=>(const RequestMetrics &) const = default;
};

/** The node may exit: no request is in flight, or the time limit for stopping has passed. */
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

/** Commands, in the order in which they must be carried out. */
using Commands = std::vector<Command>;

} // namespace GeraniumLever
