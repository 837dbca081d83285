/** One attempt at an upstream. */
#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>

#include "drivers/http/http.h"
#include "drivers/relay/event_framer.h"
#include "drivers/relay/relay_header_codec.h"

namespace GeraniumLever {

/** Data centres are milliseconds apart; an upstream that takes longer to accept is as good as gone. */
constexpr std::chrono::milliseconds UpstreamConnectTimeout(120);
/** How long a connection may wait for its next request if the upstream states no limit. */
constexpr std::chrono::milliseconds NewConnectionIdleLimit(1500);

/** Takes what an exchange reports. A call may cancel the exchange. */
class RelayExchangeObserver
{
public:
    virtual ~RelayExchangeObserver() = default;
    virtual void exchangeHead(const RelayResponseHead &head, const RelayAnswer &answer) = 0;
    /** Only after the head. */
    virtual void exchangeData(const AttemptId &attempt, std::string_view bytes, const std::string &lastEventId) = 0;
    virtual void exchangeEnded(const AttemptId &attempt) = 0;
    virtual void exchangeFailed(const RelayFailure &failure) = 0;
};

/** Sends the request while it already reads, since an upstream may answer before it has read the whole body. */
class RelayExchange : public std::enable_shared_from_this<RelayExchange>
{
public:
    RelayExchange(boost::asio::io_context &context,
                  std::shared_ptr<ConnectionPool> pool,
                  RelayDispatch dispatch,
                  RelayCallPtr call,
                  const RelayDialect &dialect,
                  RelayExchangeObserver &observer);

    void start(const std::string &lastEventId);

    /** Closes the connection; nothing further is reported. */
    void cancel();

    /** Stops or resumes reading the answer, for backpressure. */
    void setReading(bool enabled);

private:
    using Parser = boost::beast::http::response_parser<AppendBody>;

    void connect();
    void connected(const boost::system::error_code &error);
    void send();
    void sent(const boost::system::error_code &error);
    void read();
    void received(const boost::system::error_code &error, std::size_t bytes);
    void parse();
    void resetParser();
    /** Both return false if the exchange is over. */
    bool takeHead();
    bool takeBody();
    void complete();
    void fail(RelayFailure::Kind kind);
    bool close();
    void passHead();
    void passBody(std::string piece);

    boost::asio::io_context &context_;
    std::shared_ptr<ConnectionPool> pool_;
    RelayDispatch dispatch_;
    RelayCallPtr call_;
    const RelayDialect &dialect_;
    RelayExchangeObserver &observer_;
    std::shared_ptr<ClientConnection> connection_;
    boost::asio::steady_timer timer_;
    std::string output_;
    std::optional<Parser> parser_;
    EventFramer framer_;
    RelayResponseHead head_;
    RelayAnswer answer_;
    /** Body of an answer that is passed on whole. */
    std::string collected_;
    bool connecting_ = false;
    bool pooled_ = false;
    bool headTaken_ = false;
    bool headPassed_ = false;
    /** The answer belongs to an earlier request, and is dropped. */
    bool stale_ = false;
    bool writing_ = false;
    bool readPending_ = false;
    bool reading_ = true;
    bool over_ = false;
};

} // namespace GeraniumLever
