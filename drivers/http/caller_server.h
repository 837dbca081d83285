/** The listener for callers. */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "core/core.h"

namespace GeraniumLever {

struct CallerServerSettings
{
    /** "a.b.c.d:port". */
    std::string listenAddress;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxConnections = 4096;
    /** Limit of the received bytes of all incomplete requests together. */
    std::size_t maxPartialBytes = 256 * 1024 * 1024;
    /** Longest time until a request has arrived completely. */
    Duration requestTimeout = std::chrono::seconds(20);
    /** Longest idle time of a kept-alive connection. */
    Duration idleTimeout = std::chrono::seconds(60);
    /** Unsent bytes of one answer above which CallerBacklog is reported. */
    std::size_t backlogBytes = 16 * 1024;
    /** Value that a forwarding node sends in Geranium-Mesh-Key; if empty, no request counts as forwarded. */
    std::string meshKey;

    bool operator==(const CallerServerSettings &) const = default;
};

/** Accepts requests, reports them as CallerRequest events, and executes the Reply commands. Malformed, oversized and
 * slow input is answered here with an error code. */
class CallerServer
{
public:
    using Sink = std::function<void(Event)>;

    /** origin: this node's origin hash, for request identifiers. The sink is called on the context's thread. */
    CallerServer(CallerServerSettings settings, std::uint64_t origin, boost::asio::io_context &context, Sink sink);
    ~CallerServer();

    Result<Success> start();

    /** Stops accepting connections; open ones get "Connection: close" with their next answer. */
    void drain();

    void reply(const ReplyHead &head);
    void reply(const ReplyData &data);
    void reply(const ReplyEnd &end);
    void reply(const ReplyError &error);

    /** Number of requests that were reported and have no complete answer yet. */
    std::size_t openRequests() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace GeraniumLever
