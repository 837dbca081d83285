#include "development/standins/platform_stand_in.h"

namespace GeraniumLever {

namespace {

constexpr std::string_view ObjectFolder = "/geranium/";
constexpr std::string_view VmListPath = "/vms";

bool isPut(const HttpConnection &connection)
{
    return connection.request().method() == boost::beast::http::verb::put;
}

} // namespace

PlatformStandIn::PlatformStandIn(const std::string &listenAddress, boost::asio::io_context &context)
    : server_(context, listenAddress, [this](const HttpServer::ConnectionPtr &connection) { handle(connection); })
{
}

void PlatformStandIn::handle(const HttpServer::ConnectionPtr &connection)
{
    std::string target(connection->request().target());
    if (target == "/") {
        connection->answer(tableAnswer(*connection));
    } else if (target.starts_with(ObjectFolder)) {
        connection->answer(objectAnswer(*connection, target.substr(ObjectFolder.size())));
    } else if (target == VmListPath) {
        connection->answer(vmsAnswer(*connection));
    } else {
        connection->answer({ 404, "application/json", "{}" });
    }
}

HttpAnswer PlatformStandIn::tableAnswer(const HttpConnection &connection)
{
    bool overloaded = server_.fault().kind == StandInFault::Kind::Overload;
    TableAnswer answer = overloaded ? TableProtocol::overloaded()
                                    : table_.handle(connection.field("X-Amz-Target"), connection.request().body());
    return { answer.status, "application/x-amz-json-1.0", std::move(answer.body) };
}

HttpAnswer PlatformStandIn::objectAnswer(const HttpConnection &connection, const std::string &name)
{
    if (isPut(connection)) {
        objects_[name] = connection.request().body();
        return { 200, "application/xml", "" };
    }
    std::map<std::string, std::string>::const_iterator object = objects_.find(name);
    if (object == objects_.end()) {
        return { 404, "application/xml", "<Error><Code>NoSuchKey</Code></Error>" };
    }
    return { 200, "application/octet-stream", object->second };
}

HttpAnswer PlatformStandIn::vmsAnswer(const HttpConnection &connection)
{
    if (isPut(connection)) {
        vms_ = connection.request().body();
    }
    return { 200, "application/json", vms_ };
}

} // namespace GeraniumLever
