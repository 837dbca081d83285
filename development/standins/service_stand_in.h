/** Stand-in of a plain service: counts every execution by its Idempotency-Key. */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "core/core.h"
#include "development/standins/http_server.h"

namespace GeraniumLever {

struct ServiceSettings
{
    /** "a.b.c.d:port". */
    std::string listenAddress;
    /** From the execution to its answer. */
    Duration workTime { 0 };

    bool operator==(const ServiceSettings &) const = default;
};

class ServiceStandIn
{
public:
    ServiceStandIn(ServiceSettings settings, boost::asio::io_context &context);

    std::string address() const { return server_.address(); }

    /** Executions by key. */
    const std::map<std::string, std::uint64_t> &counts() const { return counts_; }

private:
    void handle(const HttpServer::ConnectionPtr &connection);
    void execute(const HttpServer::ConnectionPtr &connection);
    HttpAnswer countsAnswer() const;
    HttpAnswer loadAnswer() const;

    ServiceSettings settings_;
    boost::asio::io_context &context_;
    std::map<std::string, std::uint64_t> counts_;
    std::uint32_t running_ = 0;
    HttpServer server_;
};

} // namespace GeraniumLever
