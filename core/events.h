/** Input events of a node's logic, as value types. Adapters translate I/O into events; scenario tests construct them
 *  directly. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/peer_messages.h"
#include "core/store_types.h"
#include "core/unique_id.h"

namespace GeraniumLever {

/** An HTTP header field; the name is in lower case. */
struct HeaderField
{
    std::string name;
    std::string value;

    auto operator<=>(const HeaderField &) const = default;
};

/** A complete, well-formed request from a caller, not yet checked against the catalog. */
struct CallerRequest
{
    /** Identifier issued by the adapter. */
    RequestId request;
    std::string method;
    /** Path and query of the URL. */
    std::string target;
    /** SHA-256 of the bearer key in lower-case hex; empty if the request had none. */
    std::string keyHash;
    /** Value of the Geranium-Class header; empty if absent. */
    ClassName requestClass;
    /** Value of the Idempotency-Key header; empty if absent. */
    std::string idempotencyKey;
    /** Value of the Geranium-Deadline-Ms header. */
    std::optional<Duration> deadline;
    /** Content-Type of the body, passed through to plain services. */
    std::string contentType;
    std::string body;
    /** True if another node forwarded the request; it must not be forwarded again. */
    bool forwarded = false;
    /** Team that the forwarding node authenticated; empty unless the request was forwarded. */
    TeamName forwardedTeam;

    auto operator<=>(const CallerRequest &) const = default;
};

/** The caller closed its connection. */
struct CallerGone
{
    RequestId request;

    auto operator<=>(const CallerGone &) const = default;
};

/** The caller reads its response too slowly (true) or has caught up (false). */
struct CallerBacklog
{
    RequestId request;
    bool backlogged = false;

    auto operator<=>(const CallerBacklog &) const = default;
};

/** The status line and header of an upstream's response arrived. */
struct UpstreamHead
{
    AttemptId attempt;
    unsigned status = 0;
    std::string contentType;
    /** Value of the X-Request-Id header of the response; empty if absent. */
    std::string echoedAttempt;
    /** True if a response header announces that the upstream is draining. */
    bool leaving = false;
    /** Values of the Geranium-Outcome, Retry-After and Geranium-Replayed headers, sent by the node that a request was
     *  forwarded to; empty and false for other upstreams. */
    std::string outcome;
    std::optional<Duration> retryAfter;
    bool replayed = false;

    auto operator<=>(const UpstreamHead &) const = default;
};

/** Part of an upstream's response: the data of one server-sent event if it is streamed, else bytes of the body. */
struct UpstreamData
{
    AttemptId attempt;
    std::string data;

    auto operator<=>(const UpstreamData &) const = default;
};

/** The upstream's response is complete by the rules of HTTP (last chunk received or content length reached). */
struct UpstreamEnd
{
    AttemptId attempt;

    auto operator<=>(const UpstreamEnd &) const = default;
};

/** The exchange with the upstream failed. */
struct UpstreamFailure
{
    enum class Kind : std::uint8_t {
        /** Could not connect; no byte of the request was sent. */
        NotConnected,
        /** The connection failed after at least one byte of the request may have been sent. */
        Broken,
        /** No data was transferred within UpstreamDispatch::silenceLimit. The attempt stays open until it is cancelled,
         *  and this is reported again after each further limit. */
        Silent,
    };

    AttemptId attempt;
    Kind kind = Kind::Broken;

    auto operator<=>(const UpstreamFailure &) const = default;
};

/** Result of an UpstreamProbe. */
struct ProbeResult
{
    UpstreamName upstream;
    bool answered = false;

    auto operator<=>(const ProbeResult &) const = default;
};

/** Load and state that an upstream reports about itself; the values may lag behind its actual state. */
struct LoadReport
{
    UpstreamName upstream;
    /** Number of requests that the upstream is executing. */
    std::uint32_t running = 0;
    /** Number of requests queued at the upstream. */
    std::uint32_t waiting = 0;
    /** Free share of the KV cache in thousandths. */
    std::uint32_t freeCachePerMille = 0;
    /** False while the upstream cannot serve requests, for example while it loads weights. */
    bool ready = true;
    /** True if the upstream is draining. */
    bool leaving = false;
    /** Version of the model that the engine runs. */
    std::string modelVersion;
    /** Adapter that the engine has loaded; empty if none. */
    std::string adapter;
    /** Role that the engine has taken. */
    std::string role;
    /** Highest fencing token that the upstream has seen; 0 if it does not check fencing tokens. */
    FenceNumber fence;

    auto operator<=>(const LoadReport &) const = default;
};

/** A change of an upstream's prefix cache. */
struct CacheEvent
{
    UpstreamName upstream;
    /** Consecutive number of the event at this upstream; a gap means that events were missed. */
    std::uint64_t sequence = 0;
    /** Hash of the prefix block; see prefixBlockHashes(). */
    std::uint64_t blockHash = 0;
    /** True if the block was stored, false if it was evicted. */
    bool stored = true;

    auto operator<=>(const CacheEvent &) const = default;
};

/** One entry of the platform's VM list. */
struct VmEntry
{
    /** Name of a node or an upstream. */
    std::string name;
    /** IP address and port of a node's mesh listener or of an upstream, "a.b.c.d:port". */
    std::string address;
    DataCenterName dataCenter;
    bool isNode = false;
    bool leaving = false;

    auto operator<=>(const VmEntry &) const = default;
};

/** The platform's VM list; it may be stale. */
struct VmList
{
    std::vector<VmEntry> entries;

    auto operator<=>(const VmList &) const = default;
};

/** A message from a peer arrived. */
struct PeerReceived
{
    NodeName from;
    PeerMessage message;

    bool operator==(const PeerReceived &) const = default;
};

/** The connection to a peer was lost, or could not be made. */
struct PeerLost
{
    NodeName node;

    auto operator<=>(const PeerLost &) const = default;
};

/** An operator submitted a change ticket through the operator port. */
struct TicketSubmission
{
    /** Matches the submission with its TicketSubmissionResult. */
    OperationId operation;
    /** Text of the ticket, in YAML or JSON. */
    std::string text;

    auto operator<=>(const TicketSubmission &) const = default;
};

/** Result of an EngineOrder. */
struct OrderResult
{
    UpstreamName upstream;
    FenceNumber fence;
    bool accepted = false;
    /** True if the engine rejected the order because it has seen a higher fencing token. */
    bool staleFence = false;

    auto operator<=>(const OrderResult &) const = default;
};

/** The process received SIGTERM. */
struct StopRequested
{
    auto operator<=>(const StopRequested &) const = default;
};

using Event = std::variant<CallerRequest,
                           CallerGone,
                           CallerBacklog,
                           UpstreamHead,
                           UpstreamData,
                           UpstreamEnd,
                           UpstreamFailure,
                           ProbeResult,
                           LoadReport,
                           CacheEvent,
                           VmList,
                           PeerReceived,
                           PeerLost,
                           TicketSubmission,
                           OrderResult,
                           StoreResult,
                           StopRequested>;

} // namespace GeraniumLever
