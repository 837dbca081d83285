#include "development/standins/http_connection.h"

#include <sstream>
#include <utility>

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/status.hpp>

#include "development/standins/http_server.h"

namespace GeraniumLever {

namespace {

constexpr std::uint64_t MaxBodyBytes = 64 * 1024 * 1024;

} // namespace

HttpConnection::HttpConnection(boost::asio::ip::tcp::socket socket, HttpServer &server)
    : socket_(std::move(socket)), server_(server)
{
}

void HttpConnection::readRequest()
{
    parser_ = std::make_unique<boost::beast::http::request_parser<boost::beast::http::string_body>>();
    parser_->body_limit(MaxBodyBytes);
    boost::beast::http::async_read(
        socket_, buffer_, *parser_, [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
            self->requestRead(error);
        });
}

void HttpConnection::requestRead(const boost::system::error_code &error)
{
    if (silent_) {
        return;
    }
    if (error) {
        close();
        return;
    }
    request_ = parser_->release();
    answering_ = true;
    lastWriteQueued_ = false;
    watchForClose();
    server_.route(shared_from_this());
}

std::string HttpConnection::field(std::string_view name) const
{
    return std::string(request_[boost::beast::string_view(name.data(), name.size())]);
}

void HttpConnection::watchForClose()
{
    socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this()](const boost::system::error_code &error) {
                           boost::system::error_code ignored;
                           if (error || !self->answering_ || self->silent_ || self->socket_.available(ignored) > 0) {
                               return;
                           }
                           self->close();
                       });
}

std::string HttpConnection::head(unsigned status, const std::string &contentType) const
{
    std::ostringstream text;
    text << "HTTP/1.1 " << status << ' '
         << boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(status))
         << "\r\nContent-Type: " << contentType << "\r\n";
    std::string echoed = server_.echoedRequestId(field("X-Request-Id"));
    if (!echoed.empty()) {
        text << "X-Request-Id: " << echoed << "\r\n";
    }
    if (server_.leaving()) {
        text << "Geranium-Leaving: true\r\n";
    }
    if (!request_.keep_alive()) {
        text << "Connection: close\r\n";
    }
    return text.str();
}

void HttpConnection::answer(const HttpAnswer &answer)
{
    if (server_.losesThisAnswer(*this)) {
        close();
        return;
    }
    std::string bytes = head(answer.status, answer.contentType);
    bytes += "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
    lastWriteQueued_ = true;
    write(std::move(bytes));
}

void HttpConnection::beginEvents()
{
    if (server_.losesThisAnswer(*this)) {
        close();
        return;
    }
    write(head(200, "text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n");
}

void HttpConnection::writeEvent(std::string_view data)
{
    std::ostringstream chunk;
    constexpr std::size_t FramingBytes = 8; // "data: " and the blank line.
    chunk << std::hex << data.size() + FramingBytes << "\r\ndata: " << data << "\n\n\r\n";
    write(chunk.str());
}

void HttpConnection::endEvents()
{
    lastWriteQueued_ = true;
    write("0\r\n\r\n");
}

void HttpConnection::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
    output_.clear();
    answering_ = false;
    if (std::function<void()> broken = std::exchange(broken_, nullptr)) {
        broken();
    }
}

void HttpConnection::write(std::string bytes)
{
    if (!socket_.is_open()) {
        return;
    }
    output_.push_back(std::move(bytes));
    flush();
}

void HttpConnection::flush()
{
    if (writing_ || output_.empty() || silent_ || server_.holdsOutput(*this)) {
        return;
    }
    writing_ = true;
    boost::asio::async_write(
        socket_,
        boost::asio::buffer(output_.front()),
        [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->written(error); });
}

void HttpConnection::written(const boost::system::error_code &error)
{
    writing_ = false;
    if (error) {
        close();
        return;
    }
    if (!output_.empty()) {
        output_.pop_front();
    }
    if (output_.empty() && lastWriteQueued_) {
        finishAnswer();
        return;
    }
    flush();
}

void HttpConnection::finishAnswer()
{
    answering_ = false;
    broken_ = nullptr;
    bool keep = request_.keep_alive();
    if (!keep) {
        close();
        return;
    }
    readRequest();
}

} // namespace GeraniumLever
