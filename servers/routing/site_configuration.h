/** The complete configuration of relayed routes, as immutable value types. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Version number of a configuration; newer configurations have higher numbers. */
using ConfigurationVersion = Number<struct ConfigurationVersionTag>;

/** Identifies a configuration. A store that is restored from a copy may give the same version to another one. */
struct ConfigurationId
{
    ConfigurationVersion version;
    /** Hash of the text that it was decoded from. */
    std::uint64_t digest = 0;

    auto operator<=>(const ConfigurationId &) const = default;
};

/** A pool and its weight among the pools of a route. */
struct PoolShare
{
    PoolName pool;
    /** Relative to the other weights of the route; 0 means that the pool gets no requests. */
    std::uint32_t weight = 1;

    auto operator<=>(const PoolShare &) const = default;
};

/** How requests to one host under one path prefix are handled. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    std::vector<PoolShare> pools;
    /** True if the response is a stream of server-sent events. */
    bool streamed = false;
    /** True if a request is idempotent: it may run more than once as long as none of its response has been forwarded.
     */
    bool isIdempotent = false;
    /** True if a broken stream may be resumed at another upstream. */
    bool resumable = false;
    /** True if no API key is needed. */
    bool open = false;
    /** True if requests share prompt prefixes, so that requests with the same prefix should go to the same engine. */
    bool sharesPrefixes = false;
    /** Priority; 0 is the highest. */
    std::uint32_t tier = 0;
    /** Maximum number of upstreams to which one request may be sent. */
    std::uint32_t maxAttempts = 1;
    /** Maximum time from arrival to the end of the response. */
    Duration timeout = std::chrono::seconds(30);
    /** Target latency from arrival to the response, or to its first event if it is streamed. */
    Duration target = std::chrono::seconds(1);
    /** Target for the longest gap between two events of a streamed response; absent if none is set. */
    std::optional<Duration> gapTarget;

    auto operator<=>(const Route &) const = default;
};

/** Properties shared by all upstreams of a pool. */
struct PoolSettings
{
    PoolName name;
    /** Path of the upstreams' health check endpoint. */
    std::string healthPath;
    /** Connections that one upstream accepts from all nodes together; 0 if no limit is set. */
    std::uint32_t maxConnections = 0;
    /** True for language-model engines. */
    bool engines = false;
    /** Requests that one engine serves concurrently; 0 if not stated. */
    std::uint32_t slotsPerEngine = 0;
    /** Tokens that fit in one engine's KV cache; 0 if not stated. */
    std::uint64_t kvCacheTokens = 0;

    auto operator<=>(const PoolSettings &) const = default;
};

/** Size and time limits for what callers send. */
struct InputLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    /** Maximum time from a request's first byte to the end of its header. */
    Duration headerTimeout = std::chrono::seconds(3);
    /** How long a connection may stay open without a request. */
    Duration idleTimeout = std::chrono::seconds(15);

    auto operator<=>(const InputLimits &) const = default;
};

/** A team that may use the routes. */
struct RouteTeam
{
    TeamName name;
    std::vector<std::string> keys;
    /** Priority of the team, which takes precedence over the routes' tiers; 0 is the highest. */
    std::optional<std::uint32_t> tier;

    auto operator<=>(const RouteTeam &) const = default;
};

/** One version of all operator settings; a node always uses exactly one version as a whole. */
struct SiteConfiguration
{
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<PoolSettings> pools;
    InputLimits limits;
    /** If empty, no route needs an API key. */
    std::vector<RouteTeam> teams;
    /** Hash of the text that it was decoded from. */
    std::uint64_t digest = 0;

    ConfigurationId id() const { return { version, digest }; }

    bool operator==(const SiteConfiguration &) const = default;
};

using SiteConfigurationPtr = std::shared_ptr<const SiteConfiguration>;

} // namespace GeraniumLever
