/** The listener for operators and for metrics collection. */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/core.h"

namespace GeraniumLever {

struct OperatorServerSettings
{
    /** "a.b.c.d:port". */
    std::string listenAddress;
    /** SHA-256 of each operator key in lower-case hex; /healthz, /readyz and /metrics need no key. */
    std::vector<std::string> keyHashes;
    std::size_t maxBodyBytes = 16 * 1024 * 1024;
    Duration requestTimeout = std::chrono::seconds(20);

    bool operator==(const OperatorServerSettings &) const = default;
};

struct OperatorRequest
{
    std::string method;
    /** Path of the request target, without the query. */
    std::string path;
    std::string query;
    std::string body;

    bool operator==(const OperatorRequest &) const = default;
};

struct OperatorReply
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;

    bool operator==(const OperatorReply &) const = default;
};

class OperatorServer
{
public:
    /** Sends the reply; may be called once, at any later time on the context's thread. */
    using Responder = std::function<void(OperatorReply)>;
    using Handler = std::function<void(const OperatorRequest &, Responder)>;

    OperatorServer(OperatorServerSettings settings, boost::asio::io_context &context, Handler handler);
    ~OperatorServer();

    Result<Success> start();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace GeraniumLever
