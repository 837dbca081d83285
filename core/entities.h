/** Entities that change tickets define: immutable value types that each hold the entity's complete state. */
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/clock.h"
#include "core/ids.h"

namespace GeraniumLever {

/** A class of requests with its latency target and priority. */
struct RequestClass
{
    ClassName name;
    /** Priority tier; 0 is the highest, larger numbers are lower. */
    std::uint32_t tier = 0;
    /** False if a request must run at most once; such requests need an idempotency key. */
    bool idempotent = true;
    /** Target time from arrival of the request to the first byte of the response. */
    Duration firstTokenTarget = std::chrono::milliseconds(880);
    /** Target time between two tokens of a streamed response. */
    Duration tokenGapTarget = std::chrono::milliseconds(43);
    /** Maximum time that a request waits to be dispatched if the caller sends no deadline. */
    Duration defaultDeadline = std::chrono::seconds(30);
    /** Minimum share of a shard's grants for the class while higher tiers compete for them, in thousandths. */
    std::uint32_t guaranteedPerMille = 20;
    /** True if a running attempt may be paused for a higher tier. */
    bool preemptible = false;

    auto operator<=>(const RequestClass &) const = default;
};

/** A team of callers. */
struct Team
{
    TeamName name;
    /** Weight in fair queuing, relative to other teams with requests of the same class. */
    std::uint32_t weight = 1;
    /** Maximum number of requests in flight at one node; 0 means no limit. */
    std::uint32_t maxInFlight = 0;
    /** SHA-256 of each valid API key, in lower-case hex. */
    std::vector<std::string> keyHashes;
    /** Classes that the team may use; empty means all. */
    std::vector<ClassName> classes;

    auto operator<=>(const Team &) const = default;
};

/** A language model that pools serve. */
struct Model
{
    ModelName name;
    /** Version that engines of the model should run; empty means any version. */
    std::string version;
    /** Adapter that engines should have loaded; empty means none. */
    std::string adapter;

    auto operator<=>(const Model &) const = default;
};

/** A set of interchangeable upstreams in all data centres. */
struct Pool
{
    PoolName name;
    /** The model that the pool serves; empty for a plain service. */
    ModelName model;
    /** Name of the plain service in the path /services/NAME/; empty if the pool serves a model. */
    std::string service;
    /** Minimum number of upstreams per data centre that must stay ready during an upgrade. */
    std::uint32_t minimumReady = 1;
    /** Maximum number of upstreams that load weights at the same time. */
    std::uint32_t maxLoading = 1;

    auto operator<=>(const Pool &) const = default;
};

/** One model engine or one server of a plain service. */
struct Upstream
{
    UpstreamName name;
    PoolName pool;
    DataCenterName dataCenter;
    /** IP address and port, "a.b.c.d:port". */
    std::string address;
    /** Number of requests that the upstream serves concurrently. */
    std::uint32_t seats = 8;
    /** True if the upstream rejects orders with an outdated fencing token. */
    bool checksFence = false;
    /** True if the upstream is draining and must get no new requests. */
    bool leaving = false;
    /** Role that the engine is ordered to take, for example "decode"; empty means that none is ordered. */
    std::string role;

    auto operator<=>(const Upstream &) const = default;
};

/** Kinds of entity in the catalog. */
enum class EntityKind : std::uint8_t {
    RequestClass,
    Team,
    Model,
    Pool,
    Upstream,
};

/** Removal of an entity by a ticket. */
struct Removal
{
    EntityKind kind = EntityKind::RequestClass;
    std::string name;

    auto operator<=>(const Removal &) const = default;
};

/** The new complete state of one entity, or its removal. */
using EntityChange = std::variant<RequestClass, Team, Model, Pool, Upstream, Removal>;

/** Kind of the entity that a change affects. */
EntityKind kindOf(const EntityChange &change);

/** Name of the entity that a change affects. */
const std::string &nameOf(const EntityChange &change);

} // namespace GeraniumLever
