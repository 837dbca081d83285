/** One attempt at an upstream: its request and response. */
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "drivers/http/event_stream_parser.h"
#include "drivers/http/request_sender.h"
#include "drivers/http/response_parser.h"
#include "drivers/http/upstream_client.h"

namespace GeraniumLever {

/** Sends the request of an attempt and reports the response in pieces as they arrive. */
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>
{
public:
    using Sink = std::function<void(Event)>;
    /** Called before the final event, so that the attempt no longer counts as open. */
    using ClosedHandler = std::function<void(const AttemptId &)>;

    UpstreamExchange(boost::asio::io_context &context,
                     std::shared_ptr<ConnectionPool> pool,
                     const UpstreamClientSettings &settings,
                     const UpstreamDispatch &dispatch,
                     Sink sink,
                     ClosedHandler closed);

    void start();

    /** Closes the connection; nothing further is reported. */
    void cancel();

    /** After reading has been turned off, at most the data of one read in progress is still reported. */
    void setReading(bool enabled);

private:
    using SteadyTime = std::chrono::steady_clock::time_point;

    void sent(SendResult result);
    void read();
    void received(const boost::system::error_code &error, std::size_t bytes);
    /** Parses the received bytes; false if the exchange is over. */
    bool parse();
    /** Reports what the parser has parsed so far; false if the exchange is over. */
    bool reportProgress();
    void reportHead();
    bool reportBody(std::string piece);
    void complete();
    void fail(UpstreamFailure::Kind kind);
    /** Fails because the response cannot be trusted. */
    void reject(std::string_view reason);
    /** Marks the exchange as over; false if it already was. */
    bool close();
    void armTimer(SteadyTime deadline);
    bool hasUnreadInput() const;
    void timerExpired();

    std::shared_ptr<ConnectionPool> pool_;
    std::shared_ptr<RequestSender> sender_;
    std::shared_ptr<ClientConnection> connection_;
    ResponseParser parser_;
    EventStreamParser eventStreamParser_;
    boost::asio::steady_timer timer_;
    SteadyTime lastActivity_;
    Duration silenceLimit_;
    AttemptId attempt_;
    Sink sink_;
    ClosedHandler onClosed_;
    bool poolable_;
    bool streamRequested_;
    bool eventStream_ = false;
    bool headReported_ = false;
    bool reading_ = true;
    bool readPending_ = false;
    bool over_ = false;
};

} // namespace GeraniumLever
