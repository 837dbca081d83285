#include "development/standins/http_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace GeraniumLever {

namespace {

constexpr std::string_view FaultPath = "/fault";
constexpr std::string_view OtherRequestId = "0000000000000bad-1";

bool isFaultRequest(const HttpConnection &connection)
{
    return connection.request().target() == FaultPath;
}

} // namespace

boost::asio::ip::tcp::endpoint standInEndpoint(const std::string &address)
{
    std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw boost::system::system_error(boost::asio::error::invalid_argument, "address without port: " + address);
    }
    return { boost::asio::ip::make_address(address.substr(0, colon)),
             static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))) };
}

HttpServer::HttpServer(boost::asio::io_context &context, const std::string &address, Handler handler)
    : context_(context), acceptor_(context, standInEndpoint(address)), handler_(std::move(handler))
{
    address_ =
        acceptor_.local_endpoint().address().to_string() + ":" + std::to_string(acceptor_.local_endpoint().port());
    accept();
}

std::string HttpServer::address() const
{
    return address_;
}

void HttpServer::setFault(const StandInFault &fault)
{
    fault_ = fault;
    if (fault.kind == StandInFault::Kind::Silent) {
        for (const ConnectionPtr &connection : openConnections()) {
            if (!isFaultRequest(*connection)) {
                connection->silence();
            }
        }
    }
    if (fault.kind == StandInFault::Kind::Down) {
        closeAllConnections();
    }
    if (fault.kind != StandInFault::Kind::Freeze) {
        for (const ConnectionPtr &connection : std::exchange(held_, {})) {
            route(connection);
        }
        for (const ConnectionPtr &connection : openConnections()) {
            connection->flush();
        }
    }
    if (observer_) {
        observer_(fault);
    }
}

void HttpServer::stopListening()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

void HttpServer::closeAllConnections()
{
    for (const ConnectionPtr &connection : openConnections()) {
        if (!isFaultRequest(*connection)) {
            connection->close();
        }
    }
}

void HttpServer::route(const ConnectionPtr &connection)
{
    if (isFaultRequest(*connection)) {
        takeFault(connection);
        return;
    }
    switch (fault_.kind) {
    case StandInFault::Kind::Down:
        connection->close();
        return;
    case StandInFault::Kind::Freeze:
        held_.push_back(connection);
        return;
    case StandInFault::Kind::Slow:
        handleLater(connection);
        return;
    default:
        handler_(connection);
    }
}

bool HttpServer::losesThisAnswer(const HttpConnection &connection)
{
    if (isFaultRequest(connection) || fault_.kind != StandInFault::Kind::LoseAnswers) {
        return false;
    }
    if (fault_.value == 1) {
        fault_ = {};
    } else if (fault_.value > 1) {
        --fault_.value;
    }
    return true;
}

bool HttpServer::holdsOutput(const HttpConnection &connection) const
{
    return fault_.kind == StandInFault::Kind::Freeze && !isFaultRequest(connection);
}

std::string HttpServer::echoedRequestId(const std::string &requestId) const
{
    bool crossed = fault_.kind == StandInFault::Kind::Crossed && !requestId.empty();
    return crossed ? std::string(OtherRequestId) : requestId;
}

void HttpServer::accept()
{
    acceptor_.async_accept([this](const boost::system::error_code &error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        if (!error) {
            boost::system::error_code ignored;
            socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            ConnectionPtr connection = std::make_shared<HttpConnection>(std::move(socket), *this);
            std::erase_if(connections_, [](const std::weak_ptr<HttpConnection> &known) { return known.expired(); });
            connections_.push_back(connection);
            connection->readRequest();
        }
        accept();
    });
}

void HttpServer::handleLater(const ConnectionPtr &connection)
{
    std::shared_ptr<boost::asio::steady_timer> timer =
        std::make_shared<boost::asio::steady_timer>(context_, std::chrono::milliseconds(fault_.value));
    timer->async_wait([this, timer, connection](const boost::system::error_code &) { handler_(connection); });
}

void HttpServer::takeFault(const ConnectionPtr &connection)
{
    std::optional<StandInFault> fault = parseFault(connection->request().body());
    if (!fault) {
        connection->answer({ 400, "application/json", "{\"error\":\"unknown fault\"}" });
        return;
    }
    connection->answer({ 200, "application/json", "{}" });
    // The answer has to leave before the fault concerns this connection too.
    boost::asio::post(context_, [this, fault = *fault]() { setFault(fault); });
}

std::vector<HttpServer::ConnectionPtr> HttpServer::openConnections()
{
    std::vector<ConnectionPtr> open;
    for (const std::weak_ptr<HttpConnection> &known : connections_) {
        if (ConnectionPtr connection = known.lock()) {
            open.push_back(std::move(connection));
        }
    }
    return open;
}

} // namespace GeraniumLever
