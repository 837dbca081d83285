/** One connection of a stand-in's HTTP server. */
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace GeraniumLever {

class HttpServer;

/** A whole answer. */
struct HttpAnswer
{
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;

    bool operator==(const HttpAnswer &) const = default;
};

/** Reads requests one after the other and hands each to the server; carries one answer at a time. */
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;

    HttpConnection(boost::asio::ip::tcp::socket socket, HttpServer &server);

    void readRequest();

    const Request &request() const { return request_; }

    /** Value of a field of the request; empty if absent. */
    std::string field(std::string_view name) const;

    void answer(const HttpAnswer &answer);

    /** Begins an answer of server-sent events. */
    void beginEvents();
    void writeEvent(std::string_view data);
    void endEvents();

    /** Called at most once if the connection ends before the answer to the present request is complete. */
    void whenBroken(std::function<void()> handler) { broken_ = std::move(handler); }

    /** Closes at once, whatever is under way. */
    void close();

    /** Never carries a byte again. */
    void silence() { silent_ = true; }

    /** Goes on writing after a freeze. */
    void flush();

private:
    void requestRead(const boost::system::error_code &error);
    void watchForClose();
    std::string head(unsigned status, const std::string &contentType) const;
    void write(std::string bytes);
    void written(const boost::system::error_code &error);
    void finishAnswer();

    boost::asio::ip::tcp::socket socket_;
    HttpServer &server_;
    boost::beast::flat_buffer buffer_;
    std::unique_ptr<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    Request request_;
    std::deque<std::string> output_;
    std::function<void()> broken_;
    bool writing_ = false;
    bool answering_ = false;
    bool lastWriteQueued_ = false;
    bool silent_ = false;
};

} // namespace GeraniumLever
