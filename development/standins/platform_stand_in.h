/** Stand-in of the platform: table service, object store and VM list on one port. */
#pragma once

#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "development/standins/http_server.h"
#include "development/standins/table_protocol.h"

namespace GeraniumLever {

class PlatformStandIn
{
public:
    /** listenAddress: "a.b.c.d:port". */
    PlatformStandIn(const std::string &listenAddress, boost::asio::io_context &context);

    std::string address() const { return server_.address(); }

private:
    void handle(const HttpServer::ConnectionPtr &connection);
    HttpAnswer tableAnswer(const HttpConnection &connection);
    HttpAnswer objectAnswer(const HttpConnection &connection, const std::string &name);
    HttpAnswer vmsAnswer(const HttpConnection &connection);

    TableProtocol table_;
    std::map<std::string, std::string> objects_;
    std::string vms_ = "{\"vms\":[]}";
    HttpServer server_;
};

} // namespace GeraniumLever
