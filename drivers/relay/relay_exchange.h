/** HTTP exchange of one attempt at an upstream. */
#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "drivers/http/http.h"
#include "drivers/relay/event_framer.h"
#include "drivers/relay/relay_header_codec.h"

namespace GeraniumLever {

/** Network latency between data centres is milliseconds; an upstream that takes longer to accept is treated as down. */
constexpr std::chrono::milliseconds UpstreamConnectTimeout(120);

/** Receives the events of an exchange. Each handler may cancel the exchange. */
class RelayExchangeObserver
{
public:
    virtual ~RelayExchangeObserver() = default;
    /** The upstream has stated something about itself, in any response on the connection. Called before exchangeHead;
     *  may not be followed by it. */
    virtual void exchangeNotice(const UpstreamNotice &notice) = 0;
    /** Part of a response has arrived that is forwarded only once it is complete, which is likely to be in time.
     *  Called only before exchangeHead; may not be followed by it. */
    virtual void exchangeHeldBack(const AttemptId &attempt) = 0;
    virtual void exchangeHead(const RelayResponseHead &head, const RelayResponse &response) = 0;
    /** Called only after exchangeHead. */
    virtual void exchangeData(const AttemptId &attempt, std::string_view bytes, const std::string &lastEventId) = 0;
    virtual void exchangeEnded(const AttemptId &attempt) = 0;
    virtual void exchangeFailed(const RelayFailure &failure) = 0;
};

/** Reads the response while the request is still being sent, since an upstream may respond before it has read all of
 * the body. */
class RelayExchange : public std::enable_shared_from_this<RelayExchange>
{
public:
    RelayExchange(boost::asio::io_context &context,
                  std::shared_ptr<ConnectionPool> pool,
                  RelayDispatch dispatch,
                  RelayCallPtr call,
                  const RelayHeaderCodec &codec,
                  RelayExchangeObserver &observer);

    void start(const std::string &lastEventId);

    /** Resets the connection; reports nothing more. */
    void cancel();

    /** Pauses or resumes reading the response, for backpressure. */
    void setReading(bool enabled);

private:
    void connect();
    void connected(const boost::system::error_code &error);
    void send();
    void sent(const boost::system::error_code &error);
    void read();
    void received(const boost::system::error_code &error, std::size_t bytes);
    /** The connection that ends the body has ended, and all writes before that have been handled. */
    void inputEnded();
    void parse();
    void resetParser();
    /** Reports what the upstream states about itself; returns false if the exchange has finished. */
    bool reportNotice();
    /** Time since the upstream last refused or broke off a connection before this one was opened. */
    std::optional<Duration> sinceLoss() const;
    /** Both return false if the exchange has finished. */
    bool processHead();
    bool processBody();
    /** Reports that a response which is held back goes on. */
    void reportHeldBack();
    /** True if the rest of the buffered response is likely to arrive within the request's time. */
    bool isArrivingInTime() const;
    /** True if only complete events are forwarded, so that the stream can be resumed after any of them. Not known
     *  before the head has been parsed. */
    bool forwardsWholeEvents() const;
    /** True if the received body cannot be complete although its framing or its connection has ended. */
    bool isCutOff() const;
    void complete();
    void fail(RelayFailure::Kind kind);
    /** Fails because the response cannot be trusted. */
    void reject(RelayFailure::Kind kind, std::string_view reason);
    /** Fails because the connection that ends the body was reset. */
    void rejectResetBody();
    /** Both return false if the exchange has finished. */
    bool close();
    bool abort();
    void forwardHead();
    void forwardBody(std::string piece);

    boost::asio::io_context &context_;
    std::shared_ptr<ConnectionPool> pool_;
    RelayDispatch dispatch_;
    RelayCallPtr call_;
    const RelayHeaderCodec &codec_;
    RelayExchangeObserver &observer_;
    std::shared_ptr<ClientConnection> connection_;
    boost::asio::steady_timer timer_;
    std::string output_;
    std::optional<ResponseParser> parser_;
    EventFramer framer_;
    RelayResponseHead head_;
    RelayResponse response_;
    /** Body of a response that is forwarded only once it is complete. */
    std::string bufferedBody_;
    /** Size of that body when it was last reported; absent before that. */
    std::optional<std::size_t> reportedBytes_;
    /** On the clock of connectStartedAt_. */
    TimePoint headArrivedAt_;
    /** Time by which the response is due, on the same clock. */
    TimePoint dueAt_;
    bool connecting_ = false;
    /** On a clock that includes time during which the machine was suspended. */
    TimePoint connectStartedAt_;
    bool pooled_ = false;
    bool headParsed_ = false;
    bool headForwarded_ = false;
    bool eventStream_ = false;
    /** The response is discarded: it belongs to an earlier request. */
    bool skipResponse_ = false;
    std::size_t skippedBytes_ = 0;
    bool writing_ = false;
    bool readPending_ = false;
    bool readEnabled_;
    bool finished_ = false;
};

} // namespace GeraniumLever
