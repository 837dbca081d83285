/** One attempt's exchange with an upstream. */
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>

#include "drivers/http/append_body.h"
#include "drivers/http/event_stream_parser.h"
#include "drivers/http/request_sender.h"
#include "drivers/http/upstream_client.h"

namespace GeraniumLever {

/** Sends the request of an attempt and reports the answer piece by piece. */
class UpstreamExchange : public std::enable_shared_from_this<UpstreamExchange>
{
public:
    using Sink = std::function<void(Event)>;
    /** Called before the final event, so that the attempt does not count as open any more. */
    using Closed = std::function<void(const AttemptId &)>;

    UpstreamExchange(boost::asio::io_context &context,
                     std::shared_ptr<ConnectionPool> pool,
                     const UpstreamClientSettings &settings,
                     const UpstreamDispatch &dispatch,
                     Sink sink,
                     Closed closed);

    void start();

    /** Closes the connection; nothing further is reported. */
    void cancel();

    /** While reading is off, at most what one read has already taken is still reported. */
    void setReading(bool enabled);

private:
    using ResponseParser = boost::beast::http::response_parser<AppendBody>;
    using SteadyTime = std::chrono::steady_clock::time_point;

    void resetParser();
    void sent(SendResult result);
    void read();
    void received(const boost::system::error_code &error, std::size_t bytes);
    /** Parses what has arrived; false if the exchange is over. */
    bool parse();
    /** Hands on what the parser holds; false if the exchange is over. */
    bool reportProgress();
    void reportHead();
    bool reportBody(std::string piece);
    void complete();
    void fail(UpstreamFailure::Kind kind);
    /** Marks the exchange as over; false if it already was. */
    bool close();
    void armTimer(SteadyTime deadline);
    void timerExpired();

    std::shared_ptr<ConnectionPool> pool_;
    std::shared_ptr<RequestSender> sender_;
    std::shared_ptr<ClientConnection> connection_;
    std::optional<ResponseParser> parser_;
    EventStreamParser events_;
    boost::asio::steady_timer timer_;
    SteadyTime lastActivity_;
    Duration silenceLimit_;
    AttemptId attempt_;
    Sink sink_;
    Closed onClosed_;
    bool poolable_;
    bool streamRequested_;
    bool headRequest_;
    bool eventStream_ = false;
    bool headReported_ = false;
    bool reading_ = true;
    bool readPending_ = false;
    bool silentWhileSending_ = false;
    bool over_ = false;
};

} // namespace GeraniumLever
