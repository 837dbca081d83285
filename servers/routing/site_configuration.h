/** A whole configuration of relayed routes, as immutable value types. */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Number of a configuration; later ones are higher. */
using ConfigurationVersion = Number<struct ConfigurationVersionTag>;

/** A pool and its share of a route's requests. */
struct PoolShare
{
    PoolName pool;
    /** Relative to the other shares of the route; 0 means none. */
    std::uint32_t weight = 1;

    auto operator<=>(const PoolShare &) const = default;
};

/** Requests of one host under one path prefix. */
struct Route
{
    std::string name;
    std::string host;
    /** Begins and ends with a slash. */
    std::string pathPrefix;
    std::vector<PoolShare> pools;
    /** True if the answer is a stream of server-sent events. */
    bool streamed = false;
    /** True if a request may run more than once before any of its answer has been passed on. */
    bool isIdempotent = false;
    /** True if a broken stream may go on at another upstream. */
    bool resumable = false;
    /** True if no key is needed. */
    bool open = false;
    /** True if requests share parts of their prompts, so that those with equal parts belong together. */
    bool sharesPrefixes = false;
    /** 0 is the highest. */
    std::uint32_t tier = 0;
    /** Largest number of upstreams to which one request may be sent. */
    std::uint32_t maxAttempts = 1;
    /** Longest time from arrival to the end of the answer. */
    Duration timeout = std::chrono::seconds(30);
    /** Target from arrival to the answer, or to its first event if it is streamed. */
    Duration target = std::chrono::seconds(1);
    /** Target for the longest pause between two events. */
    std::optional<Duration> gapTarget;

    auto operator<=>(const Route &) const = default;
};

/** What the upstreams of a pool have in common. */
struct PoolSettings
{
    PoolName name;
    /** Path of the upstreams' health check. */
    std::string healthPath;
    /** Connections that one upstream accepts from all nodes together; 0 if no limit is stated. */
    std::uint32_t maxConnections = 0;
    /** True for language-model engines. */
    bool engines = false;
    /** Requests that an engine serves at once. */
    std::uint32_t slotsPerEngine = 0;
    /** Tokens that an engine's memory holds. */
    std::uint64_t kvCacheTokens = 0;

    auto operator<=>(const PoolSettings &) const = default;
};

/** What a caller may send, and how long it may take. */
struct InputLimits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    /** Longest time from a request's first byte to the end of its header. */
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
    /** Orders teams before the routes' tiers do; 0 is the highest. */
    std::optional<std::uint32_t> tier;

    auto operator<=>(const RouteTeam &) const = default;
};

/** One version of everything that an operator sets; a node uses one version at a time, whole. */
struct SiteConfiguration
{
    ConfigurationVersion version;
    std::vector<Route> routes;
    std::vector<PoolSettings> pools;
    InputLimits limits;
    /** Without teams no route needs a key. */
    std::vector<RouteTeam> teams;

    bool operator==(const SiteConfiguration &) const = default;
};

using SiteConfigurationPtr = std::shared_ptr<const SiteConfiguration>;

} // namespace GeraniumLever
