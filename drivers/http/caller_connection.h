/** One connection from a caller. */
#pragma once

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include "core/core.h"
#include "drivers/http/answer_formatter.h"
#include "drivers/http/caller_request_reader.h"
#include "drivers/http/caller_server.h"
#include "drivers/http/output_queue.h"

namespace GeraniumLever {

class CallerConnection;

/** Interface through which a connection uses the server that owns it. */
class CallerConnectionOwner
{
public:
    virtual ~CallerConnectionOwner() = default;

    virtual const CallerServerSettings &settings() const = 0;
    virtual RequestId nextRequest() = 0;
    virtual bool draining() const = 0;
    /** Registers the connection that will answer this request; the request is reported next. */
    virtual void requestOpened(const RequestId &request, const std::shared_ptr<CallerConnection> &connection) = 0;
    /** The request has its complete answer, or will never get one. */
    virtual void requestClosed(const RequestId &request) = 0;
    /** Counts received bytes of an incomplete request; false if the total of all callers exceeds the limit. */
    virtual bool reserveInput(std::size_t bytes) = 0;
    virtual void releaseInput(std::size_t bytes) = 0;
    virtual void report(Event event) = 0;
    virtual void connectionClosed(const std::shared_ptr<CallerConnection> &connection) = 0;
};

/** Reads requests one at a time and writes their answers. */
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    /** The owner must call close() before it is destroyed. */
    CallerConnection(boost::asio::io_context &context, Socket socket, CallerConnectionOwner &owner);

    void start();

    /** Answers with the error without reading a request, then closes the connection. */
    void refuse(const Error &error);

    void reply(const ReplyHead &head);
    void reply(const ReplyData &data);
    void reply(const ReplyEnd &end);
    void reply(const ReplyError &error);

    /** Closes the connection at once; nothing is reported afterwards. */
    void close();

private:
    enum class Phase : std::uint8_t {
        /** No byte of the next request has arrived. */
        Idle,
        Reading,
        /** The request has been reported to the owner. */
        Answering,
        /** The last answer is being written or has been written; further input is discarded. */
        Closing,
        Closed,
    };

    void read();
    void received(const boost::system::error_code &error, std::size_t bytes);
    /** newBytes: number of input bytes that have not been parsed before. */
    void parse(std::size_t newBytes);
    void dispatchCall();
    void releaseInput();
    void afterReply();
    void checkBacklog();
    void finishAnswer();
    void continueAfterAnswer();
    void answerInputError(const Error &error);
    void beginClosing();
    void lingerIfWritten();
    void written(bool succeeded);
    void handleCallerGone();
    /** Input may have arrived while the process was paused. */
    bool hasUnreadInput() const;
    void armTimer(Duration duration);
    void timerExpired();

    boost::asio::io_context &context_;
    Socket socket_;
    CallerConnectionOwner &owner_;
    boost::asio::steady_timer timer_;
    std::array<char, 4096> readBuffer_;
    /** Bytes that have been received but not yet parsed. */
    boost::beast::flat_buffer input_;
    OutputQueue output_;
    std::optional<CallerRequestReader> reader_;
    std::optional<AnswerFormatter> answer_;
    RequestId request_;
    Phase phase_ = Phase::Idle;
    std::chrono::steady_clock::time_point lastWrite_;
    /** Received bytes of the current incomplete request. */
    std::size_t partialBytes_ = 0;
    std::size_t droppedBytes_ = 0;
    bool readPending_ = false;
    bool backlogged_ = false;
    bool awaitingOutput_ = false;
};

} // namespace GeraniumLever
