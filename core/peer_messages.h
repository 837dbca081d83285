/** Messages between nodes, as value types. The mesh delivers each unchanged, at most once, and in order per
 *  connection. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"
#include "core/result_code.h"
#include "core/unique_id.h"

namespace GeraniumLever {

/** State of a node; only a ready node accepts requests. */
enum class NodeState : std::uint8_t {
    Starting,
    Ready,
    Leaving,
};

/** Identifies a shard: the upstreams of one pool in one data centre that share a scheduler. */
struct ShardKey
{
    DataCenterName dataCenter;
    PoolName pool;
    std::uint32_t index = 0;

    auto operator<=>(const ShardKey &) const = default;
};

/** Capacity of a pool in one data centre, as reported by its schedulers. */
struct PoolSummary
{
    PoolName pool;
    std::uint32_t freeSeats = 0;
    std::uint32_t totalSeats = 0;
    /** Expected wait until a seat is granted, by priority tier; index 0 is the highest tier. */
    std::vector<Duration> waitByTier;

    bool operator==(const PoolSummary &) const = default;
};

/** Sent every second to each peer. */
struct Heartbeat
{
    NodeName node;
    Incarnation incarnation;
    DataCenterName dataCenter;
    /** Increases with each heartbeat of one run of the node. */
    std::uint64_t sequence = 0;
    NodeState state = NodeState::Starting;
    /** Number of the last ticket that the sender's catalog includes. */
    TicketNumber ticketHead;
    /** Digest of that catalog; see Catalog::digest(). */
    std::uint64_t catalogDigest = 0;
    StoreEpoch storeEpoch;
    /** Summaries of the pools that the sender schedules. */
    std::vector<PoolSummary> pools;

    bool operator==(const Heartbeat &) const = default;
};

/** Ingress to scheduler: requests a seat at an upstream of the shard. */
struct SlotRequest
{
    RequestId request;
    ShardKey shard;
    ClassName requestClass;
    TeamName team;
    /** Remaining time until the request fails unless it has been granted a seat. */
    Duration timeLeft { 0 };
    std::uint32_t promptTokens = 0;
    /** Caller's limit on the number of generated tokens; 0 if not given. */
    std::uint32_t maxTokens = 0;
    /** Number of tokens that earlier attempts have delivered. */
    std::uint32_t deliveredTokens = 0;
    /** Hash of each prefix block of the prompt, first block first. */
    std::vector<std::uint64_t> prefixHashes;
    /** Upstreams that the scheduler must not choose. */
    std::vector<UpstreamName> excluded;
    /** True if an earlier attempt of the request failed; the retry counts against the retry budget. */
    bool retry = false;
    /** True if the request was paused for a higher tier and waits to resume. */
    bool resumesPaused = false;

    bool operator==(const SlotRequest &) const = default;
};

/** Scheduler to ingress: grants a seat; the request may be sent to the upstream. */
struct SlotGrant
{
    RequestId request;
    AttemptId attempt;
    UpstreamName upstream;
    ShardKey shard;

    bool operator==(const SlotGrant &) const = default;
};

/** Scheduler to ingress: the request gets no seat. The refusal is final. */
struct SlotRefusal
{
    RequestId request;
    ShardKey shard;
    ResultCode code = ResultCode::Shed;
    Duration retryAfter { 0 };

    bool operator==(const SlotRefusal &) const = default;
};

/** Ingress to scheduler: withdraws a SlotRequest. */
struct SlotCancel
{
    RequestId request;
    ShardKey shard;

    bool operator==(const SlotCancel &) const = default;
};

/** Ingress to scheduler: progress of a running attempt. Sent at the first token and about once a second. */
struct AttemptProgress
{
    AttemptId attempt;
    ShardKey shard;
    UpstreamName upstream;
    /** Time from dispatch to the first token; absent before the first token. */
    std::optional<Duration> firstToken;
    /** Number of tokens received so far. */
    std::uint32_t tokens = 0;
    /** True if the caller has read too slowly at any time; the token rate then says nothing about the upstream. */
    bool readerSlow = false;

    bool operator==(const AttemptProgress &) const = default;
};

/** How an attempt ended. */
enum class AttemptEnding : std::uint8_t {
    Completed,
    /** Cancelled by the caller or the ingress. */
    Cancelled,
    /** Paused for a higher tier. */
    Paused,
    /** Rejected by the upstream before it did any work. */
    Refused,
    /** Failed while running: the connection broke, or the response stalled or was incomplete. */
    Lost,
    /** Granted a seat, but never sent to the upstream. */
    NotSent,
};

/** Ingress to scheduler: the attempt has ended and its seat is free. */
struct AttemptEnd
{
    AttemptId attempt;
    RequestId request;
    ShardKey shard;
    UpstreamName upstream;
    AttemptEnding ending = AttemptEnding::Completed;
    /** See AttemptProgress::firstToken. */
    std::optional<Duration> firstToken;
    /** Number of tokens received. */
    std::uint32_t tokens = 0;
    /** Number of tokens that this attempt generated and that will not be used. */
    std::uint32_t wastedTokens = 0;
    /** See AttemptProgress::readerSlow. */
    bool readerSlow = false;

    bool operator==(const AttemptEnd &) const = default;
};

/** Ingress to a shard's new scheduler: an attempt that another scheduler granted is running. */
struct AttemptRegistration
{
    AttemptId attempt;
    RequestId request;
    ShardKey shard;
    UpstreamName upstream;
    ClassName requestClass;
    TeamName team;
    std::uint32_t promptTokens = 0;
    std::uint32_t tokens = 0;
    /** Time since dispatch. */
    Duration age { 0 };

    bool operator==(const AttemptRegistration &) const = default;
};

/** Scheduler to ingress: pause the attempt for a higher tier and request a new seat. */
struct AttemptPause
{
    AttemptId attempt;
    RequestId request;

    bool operator==(const AttemptPause &) const = default;
};

/** To all nodes: the upstream is draining and gets no new requests. */
struct LeavingNotice
{
    UpstreamName upstream;
    /** False withdraws the notice because the upstream reports ready again. */
    bool leaving = true;

    bool operator==(const LeavingNotice &) const = default;
};

/** An accepted ticket as stored in the table service. */
struct TicketRecord
{
    TicketNumber number;
    /** Number of the ticket accepted before this one; 0 for the first. */
    TicketNumber previous;
    StoreEpoch epoch;
    /** Canonical text of the complete ticket. */
    std::string text;

    auto operator<=>(const TicketRecord &) const = default;
};

/** Tickets in chain order, pushed by a delegate or sent in response to a TicketFetch. */
struct TicketBatch
{
    std::vector<TicketRecord> tickets;

    bool operator==(const TicketBatch &) const = default;
};

/** Requests the tickets after a given number from a peer. */
struct TicketFetch
{
    TicketNumber after;

    bool operator==(const TicketFetch &) const = default;
};

/** Requests a peer's complete catalog. */
struct SnapshotFetch
{
    bool operator==(const SnapshotFetch &) const = default;
};

/** A complete catalog as of one ticket. */
struct Snapshot
{
    TicketNumber head;
    StoreEpoch epoch;
    /** Canonical text of a single ticket that creates every entity. */
    std::string text;

    bool operator==(const Snapshot &) const = default;
};

/** Asks the node that holds a claim for the claim's state. */
struct ClaimQuery
{
    /** Key of the claim's row, made of the team and the idempotency key. */
    std::string claimKey;
    AttemptId attempt;

    bool operator==(const ClaimQuery &) const = default;
};

/** State of a claim at the node that holds it. */
enum class ClaimStanding : std::uint8_t {
    /** The attempt is running or about to run. */
    Running,
    /** The attempt will never be dispatched; another node may take over the claim. */
    Abandoned,
    /** The attempt has finished; the claim's row holds or will hold the result. */
    Finished,
    /** The node does not know the attempt. */
    NotKnown,
};

/** Response to a ClaimQuery. */
struct ClaimReply
{
    std::string claimKey;
    AttemptId attempt;
    ClaimStanding standing = ClaimStanding::NotKnown;

    bool operator==(const ClaimReply &) const = default;
};

using PeerMessage = std::variant<Heartbeat,
                                 SlotRequest,
                                 SlotGrant,
                                 SlotRefusal,
                                 SlotCancel,
                                 AttemptProgress,
                                 AttemptEnd,
                                 AttemptRegistration,
                                 AttemptPause,
                                 LeavingNotice,
                                 TicketBatch,
                                 TicketFetch,
                                 SnapshotFetch,
                                 Snapshot,
                                 ClaimQuery,
                                 ClaimReply>;

} // namespace GeraniumLever
