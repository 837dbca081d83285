/** One request and response of HttpClient. */
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "drivers/http/http_client.h"
#include "drivers/http/request_sender.h"
#include "drivers/http/response_parser.h"

namespace GeraniumLever {

/** Sends a request, reads the complete response, and returns the connection to the pool. */
class HttpExchange : public std::enable_shared_from_this<HttpExchange>
{
public:
    using Completion = std::function<void(HttpResult)>;

    HttpExchange(boost::asio::io_context &context, std::shared_ptr<ConnectionPool> pool, const HttpRequest &request);

    /** The completion is called exactly once unless abandon() comes first, never from within this call. */
    void start(Completion completion);

    /** Closes the connection; the completion is not called afterwards. */
    void abandon();

private:
    /** Closes the connection when the timer expires. */
    void startTimer(boost::asio::steady_timer &timer, Duration limit);
    void restartStallTimer(Duration allowance);
    void sent(SendResult result);
    void read();
    void received(const boost::system::error_code &error, std::size_t bytes);
    void complete();
    void finish(HttpResult result);

    std::shared_ptr<ConnectionPool> pool_;
    std::shared_ptr<RequestSender> sender_;
    std::shared_ptr<ClientConnection> connection_;
    ResponseParser parser_;
    /** For the log. */
    std::string target_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer stallTimer_;
    Duration timeout_;
    Duration stallTimeout_;
    Duration responseDelay_;
    Completion completion_;
    bool poolable_;
};

} // namespace GeraniumLever
