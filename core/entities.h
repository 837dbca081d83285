/** Entities that change tickets describe: immutable value types, each carrying its whole state. */
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
    /** False if a call must run at most once; such calls need an idempotency key. */
    bool idempotent = true;
    /** Target time from arrival to the first byte of the answer. */
    Duration firstTokenTarget = std::chrono::milliseconds(880);
    /** Target gap between two tokens of a streamed answer. */
    Duration tokenGapTarget = std::chrono::milliseconds(43);
    /** How long a request may wait to be started if the caller sends no deadline. */
    Duration defaultDeadline = std::chrono::seconds(30);
    /** Share of a shard's grants that the class gets even under pressure from higher tiers, in thousandths. */
    std::uint32_t guaranteedPerMille = 20;
    /** True if a running attempt may be paused for a higher tier. */
    bool preemptible = false;

    auto operator<=>(const RequestClass &) const = default;
};

/** A team of callers. */
struct Team
{
    TeamName name;
    /** Share in fair queuing relative to other teams of the same class. */
    std::uint32_t weight = 1;
    /** Largest number of requests in flight at one node; 0 means no limit. */
    std::uint32_t maxInFlight = 0;
    /** SHA-256 of each valid caller key, in lower-case hex. */
    std::vector<std::string> keyHashes;
    /** Classes that the team may use; empty means all. */
    std::vector<ClassName> classes;

    auto operator<=>(const Team &) const = default;
};

/** A language model that pools serve. */
struct Model
{
    ModelName name;
    /** Version that engines of the model should run; empty means whatever they run. */
    std::string version;
    /** Adapter that engines should have loaded; empty means none. */
    std::string adapter;

    auto operator<=>(const Model &) const = default;
};

/** Upstreams that can answer the same requests, in all data centres together. */
struct Pool
{
    PoolName name;
    /** The model that the pool serves; empty for a plain service. */
    ModelName model;
    /** The plain service's name in /services/NAME/; empty for a model. */
    std::string service;
    /** Fewest ready upstreams per data centre that an upgrade may leave. */
    std::uint32_t minimumReady = 1;
    /** Most upstreams that load weights at the same time. */
    std::uint32_t maxLoading = 1;

    auto operator<=>(const Pool &) const = default;
};

/** One model engine or one server of a plain service. */
struct Upstream
{
    UpstreamName name;
    PoolName pool;
    DataCenterName dataCenter;
    /** "a.b.c.d:port". */
    std::string address;
    /** Requests that it serves at once. */
    std::uint32_t seats = 8;
    /** True if it refuses orders that carry an old fencing number. */
    bool checksFence = false;
    /** True if it must get no new work. */
    bool leaving = false;
    /** Role order for the engine, for example "decode"; empty means no order. */
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

/** The new whole state of one entity, or its removal. */
using EntityChange = std::variant<RequestClass, Team, Model, Pool, Upstream, Removal>;

/** Kind of the entity that a change touches. */
EntityKind kindOf(const EntityChange &change);

/** Name of the entity that a change touches. */
const std::string &nameOf(const EntityChange &change);

} // namespace GeraniumLever
