/** Server side of one caller's connection. */
#pragma once

#include <array>
#include <chrono>
#include <memory>
#include <optional>

#include "drivers/relay/relay_server.h"
#include "drivers/relay/request_digest.h"

namespace GeraniumLever {

class RelayConnection;

/** Interface to the server that owns the connections. */
class RelayConnectionOwner
{
public:
    virtual ~RelayConnectionOwner() = default;
    virtual const InputLimits &limits() const = 0;
    virtual const RelayHeaderCodec &codec() const = 0;
    virtual RelayCallerObserver &observer() = 0;
    /** True if each response announces that its connection closes. */
    virtual bool isClosing() const = 0;
    virtual RequestId nextRequest() = 0;
    /** Returns false if the limit on buffered input is reached. */
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

    void begin(const RelayResponse &response);
    void append(std::string_view bytes);
    void finish();
    void refuse(const Error &error, Outcome outcome);

    /** Closes immediately, even in the middle of a request or response; nothing is reported. */
    void close();

    /** Closes if no request has begun to arrive. The close is asynchronous. */
    void closeIfIdle();

    /** True if the last response has been written, and no further request will be read. */
    bool isDrained() const;

    /** True if a request, or a part of one, has arrived that has not been reported yet. */
    bool hasUnreportedInput() const;

    void checkTimeouts(std::chrono::steady_clock::time_point now);

private:
    enum class Phase : std::uint8_t {
        Idle,
        Reading,
        Responding,
        /** The last response is being sent; input is discarded. */
        Closing,
        Closed,
    };

    /** Input may have arrived while the process was paused. */
    bool hasUnreadInput() const;
    void read();
    void received(const boost::system::error_code &error, std::size_t bytes);
    void parse(std::size_t newBytes);
    void dispatchCall();
    void rejectInput(const Error &error);
    void writeError(const Error &error, Outcome outcome, bool keepAlive);
    void flush();
    void checkBacklog();
    void endResponse();
    void beginClosing();
    void shutDownSendIfFlushed();
    void written(bool succeeded);
    void handleCallerGone();
    void releaseInput();

    Socket socket_;
    RelayConnectionOwner &owner_;
    OutputQueue output_;
    boost::beast::flat_buffer input_;
    std::array<char, 4096> chunk_;
    std::optional<RequestParser> parser_;
    std::optional<RequestDigest> digest_;
    RequestId request_;
    Phase phase_ = Phase::Idle;
    std::chrono::steady_clock::time_point phaseStart_;
    /** The limit that was in force when the connection became idle. */
    Duration idleLimit_;
    /** Bytes reserved with the owner for the current request, until it has been answered. */
    std::size_t reservedInputBytes_ = 0;
    std::size_t discardedBytes_ = 0;
    bool readPending_ = false;
    bool keepAlive_ = true;
    bool headRequest_ = false;
    bool chunked_ = false;
    bool backlogged_ = false;
};

} // namespace GeraniumLever
