/** What the load program sends, where to, and within which bounds. */
#pragma once

#include <string>

#include "core/core.h"

namespace GeraniumLever {

struct LoadSettings
{
    /** "a.b.c.d:port" of the router's caller listener. */
    std::string router;
    /** "a.b.c.d:port" of an engine, for comparison; may be empty. */
    std::string engine;
    std::string key;
    std::string requestClass;
    std::string model;
    std::uint32_t maxTokens = 64;
    /** Streams that are open at one time. */
    std::size_t concurrency = 64;
    /** Requests in all. */
    std::size_t requests = 1000;
    /** Requests a second, for comparison. */
    double rate = 12;
    /** No request is begun after this time. */
    Duration duration = std::chrono::seconds(10);
    /** How often a held stream is read for an instant; 0 for never. */
    Duration readEvery = std::chrono::seconds(1);
    /** Process whose memory is printed; 0 for none. */
    int processId = 0;

    bool operator==(const LoadSettings &) const = default;
};

/** The first fault that forbids the run: an address outside 127.0.0.0/8, or a bound that is passed. */
std::optional<std::string> findLoadFault(const LoadSettings &settings);

/** One streamed chat completion. */
UpstreamDispatch makeLoadRequest(const LoadSettings &settings, const std::string &address, std::uint64_t sequence);

} // namespace GeraniumLever
