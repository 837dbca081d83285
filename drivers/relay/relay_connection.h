/** One caller's connection. */
#pragma once

#include <array>
#include <chrono>
#include <memory>
#include <optional>

#include "drivers/relay/relay_server.h"

namespace GeraniumLever {

class RelayConnection;

/** What connections need of the server. */
class RelayConnectionOwner
{
public:
    virtual ~RelayConnectionOwner() = default;
    virtual const InputLimits &limits() const = 0;
    virtual const RelayDialect &dialect() const = 0;
    virtual RelayCallerObserver &observer() = 0;
    /** True if answers announce that the connection closes. */
    virtual bool closing() const = 0;
    virtual RequestId nextRequest() = 0;
    /** False if no more input can be held now. */
    virtual bool reserveInput(std::size_t bytes) = 0;
    virtual void releaseInput(std::size_t bytes) = 0;
    virtual void requestOpened(const RequestId &request, const std::shared_ptr<RelayConnection> &connection) = 0;
    virtual void requestClosed(const RequestId &request) = 0;
    virtual void connectionClosed(const std::shared_ptr<RelayConnection> &connection) = 0;
};

class RelayConnection : public std::enable_shared_from_this<RelayConnection>
{
public:
    /** The owner must outlive the connection. */
    RelayConnection(Socket socket, RelayConnectionOwner &owner);

    void start();

    void begin(const RelayAnswer &answer);
    void append(std::string_view bytes);
    void finish();
    void refuse(const Error &error, Outcome outcome);

    /** Closes at once, in the middle of whatever is under way; nothing is reported. */
    void close();

    /** Closes if no request has begun to arrive; soon, not at once. */
    void closeIfIdle();

    /** True if the last answer has been written, and nothing more is to be read. */
    bool quiet() const;

    void checkTime(std::chrono::steady_clock::time_point now);

private:
    enum class Phase : std::uint8_t {
        Idle,
        Reading,
        Answering,
        /** The last answer is on its way; input is dropped. */
        Closing,
        Closed,
    };

    void read();
    void received(const boost::system::error_code &error, std::size_t bytes);
    void parse(std::size_t newBytes);
    void handOn();
    void rejectInput(const Error &error);
    void writeError(const Error &error, Outcome outcome, bool keepAlive);
    void flush();
    void checkBacklog();
    void endAnswer();
    void beginClosing();
    void lingerIfWritten();
    void written(bool succeeded);
    void peerGone();
    void releaseInput();

    Socket socket_;
    RelayConnectionOwner &owner_;
    OutputQueue output_;
    boost::beast::flat_buffer input_;
    std::array<char, 4096> chunk_;
    std::optional<RequestParser> parser_;
    RequestId request_;
    Phase phase_ = Phase::Idle;
    std::chrono::steady_clock::time_point phaseSince_;
    /** Bytes reserved for the request that is being read or answered. */
    std::size_t heldInput_ = 0;
    std::size_t droppedBytes_ = 0;
    bool readPending_ = false;
    bool keepAlive_ = true;
    bool headRequest_ = false;
    bool chunked_ = false;
    bool backlogged_ = false;
};

} // namespace GeraniumLever
