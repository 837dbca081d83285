/** One connection of a stand-in that answers with exactly the bytes it is told to send. */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

namespace GeraniumLever {

/** Reads requests one after the other; each is handed on, and the next one read after finish(). */
class RawSession : public std::enable_shared_from_this<RawSession>
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    using Handler = std::function<void(const std::shared_ptr<RawSession> &, const Request &)>;

    RawSession(boost::asio::ip::tcp::socket socket, Handler handler);

    void readRequest();

    void send(const std::string &bytes);

    /** The answer is whole: reads the next request once everything is sent. */
    void finish();

    /** Sends what waits and closes. */
    void closeAfterSending();

    /** Closes at once so that the peer sees a reset. */
    void reset();

    /** True once the peer has closed, or this side has. */
    bool ended() const { return ended_; }

    /** Called once the peer closes while a request is being answered. */
    void whenPeerCloses(std::function<void()> handler) { peerClosed_ = std::move(handler); }

private:
    void write();
    void watch();
    void end();

    boost::asio::ip::tcp::socket socket_;
    Handler handler_;
    boost::beast::flat_buffer input_;
    std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
    std::string waiting_;
    std::string sending_;
    std::function<void()> peerClosed_;
    bool answering_ = false;
    bool finished_ = false;
    bool closing_ = false;
    bool ended_ = false;
};

/** Accepts connections and gives each a session. */
class RawServer
{
public:
    /** Listens at once; throws boost::system::system_error if the address cannot be bound. */
    RawServer(boost::asio::io_context &context, const std::string &address, RawSession::Handler handler);

    /** The address that it listens on, with the port if 0 was asked for. */
    std::string address() const;

    /** Resets every connection and accepts no more. */
    void stop();

    /** Resets every connection. */
    void resetAll();

private:
    void accept();

    boost::asio::ip::tcp::acceptor acceptor_;
    RawSession::Handler handler_;
    std::vector<std::weak_ptr<RawSession>> sessions_;
};

} // namespace GeraniumLever
