/** Everything that can happen to a node, as values. Adapters turn I/O into events; scenarios make them by hand. */
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

/** A header field; names in lower case. */
struct HeaderField
{
    std::string name;
    std::string value;

    auto operator<=>(const HeaderField &) const = default;
};

/** A complete, well-formed request of a caller, before any look at the catalog. */
struct CallerRequest
{
    /** Issued by the adapter. */
    RequestId request;
    std::string method;
    /** Path and query. */
    std::string target;
    /** The bearer key's SHA-256 in lower-case hex; empty if there was none. */
    std::string keyHash;
    /** Value of Geranium-Class; empty if absent. */
    ClassName requestClass;
    /** Value of Idempotency-Key; empty if absent. */
    std::string idempotencyKey;
    /** Value of Geranium-Deadline-Ms. */
    std::optional<Duration> deadline;
    /** Content-Type of the body, passed on to plain services. */
    std::string contentType;
    std::string body;
    /** True if another node forwarded it; it must not be forwarded again. */
    bool forwarded = false;
    /** The team a forwarding node has authenticated; empty unless forwarded. */
    TeamName forwardedTeam;

    auto operator<=>(const CallerRequest &) const = default;
};

/** The caller closed its connection. */
struct CallerGone
{
    RequestId request;

    auto operator<=>(const CallerGone &) const = default;
};

/** The caller reads too slowly (true), or has caught up (false). */
struct CallerBacklog
{
    RequestId request;
    bool backlogged = false;

    auto operator<=>(const CallerBacklog &) const = default;
};

/** The upstream answered with a status line and header. */
struct UpstreamHead
{
    AttemptId attempt;
    unsigned status = 0;
    std::string contentType;
    /** Value of the upstream's X-Request-Id header; empty if it sends none. */
    std::string echoedAttempt;
    /** True if the upstream announced in a header that it is leaving. */
    bool leaving = false;
    /** Values of Geranium-Outcome, Retry-After and Geranium-Replayed, which the node that a request was forwarded to
     *  sends; empty and false for other upstreams. */
    std::string outcome;
    std::optional<Duration> retryAfter;
    bool replayed = false;

    auto operator<=>(const UpstreamHead &) const = default;
};

/** Part of an upstream's answer: for a streamed answer the data of one server-sent event, else bytes of the body. */
struct UpstreamData
{
    AttemptId attempt;
    std::string data;

    auto operator<=>(const UpstreamData &) const = default;
};

/** The upstream's answer ended as the protocol says it should (last chunk, or content length reached). */
struct UpstreamEnd
{
    AttemptId attempt;

    auto operator<=>(const UpstreamEnd &) const = default;
};

/** The exchange with the upstream broke. */
struct UpstreamFailure
{
    enum class Kind : std::uint8_t {
        /** No connection; no byte was sent. */
        NotConnected,
        /** Broke after at least one byte of the request may have left. */
        Broken,
        /** Connected, but nothing arrived for too long. */
        Silent,
    };

    AttemptId attempt;
    Kind kind = Kind::Broken;

    auto operator<=>(const UpstreamFailure &) const = default;
};

/** Result of a probe on a new connection. */
struct ProbeResult
{
    UpstreamName upstream;
    bool answered = false;

    auto operator<=>(const ProbeResult &) const = default;
};

/** An upstream's own report, as old as its lag makes it. */
struct LoadReport
{
    UpstreamName upstream;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /** Free share of the KV cache in thousandths. */
    std::uint32_t freeCachePerMille = 0;
    bool ready = true;
    bool leaving = false;
    std::string modelVersion;
    std::string adapter;
    std::string role;
    /** The highest fencing number it has seen; 0 if it checks none. */
    FenceNumber fence;

    auto operator<=>(const LoadReport &) const = default;
};

/** A change of an upstream's prefix cache. */
struct CacheEvent
{
    UpstreamName upstream;
    std::uint64_t sequence = 0;
    std::uint64_t blockHash = 0;
    bool stored = true;

    auto operator<=>(const CacheEvent &) const = default;
};

/** One line of the platform's VM list. */
struct VmEntry
{
    /** Node or upstream name. */
    std::string name;
    /** "a.b.c.d:port" of a node's mesh listener or of an upstream. */
    std::string address;
    DataCenterName dataCenter;
    bool isNode = false;
    bool leaving = false;

    auto operator<=>(const VmEntry &) const = default;
};

/** The platform's VM list, possibly stale. */
struct VmList
{
    std::vector<VmEntry> entries;

    auto operator<=>(const VmList &) const = default;
};

/** A message of a peer. */
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

/** A ticket arrived at the operator port. */
struct TicketSubmission
{
    /** Correlates with TicketSubmissionResult. */
    OperationId operation;
    /** YAML or JSON. */
    std::string text;

    auto operator<=>(const TicketSubmission &) const = default;
};

/** Result of an order to an engine. */
struct OrderResult
{
    UpstreamName upstream;
    FenceNumber fence;
    bool accepted = false;
    /** True if the engine refused because it has seen a higher fence. */
    bool staleFence = false;

    auto operator<=>(const OrderResult &) const = default;
};

/** SIGTERM arrived. */
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
