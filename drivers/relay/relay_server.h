/** HTTP server for callers whose requests are forwarded. */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "drivers/http/http.h"
#include "drivers/relay/relay_header_codec.h"

namespace GeraniumLever {

/** Receives the events of callers; called on the context's thread. */
class RelayCallerObserver
{
public:
    virtual ~RelayCallerObserver() = default;
    virtual void callArrived(RelayCallPtr call) = 0;
    virtual void callerGone(const RequestId &request) = 0;
    /** The caller reads the response too slowly (true), or has caught up (false). */
    virtual void callerBacklog(const RequestId &request, bool backlogged) = 0;
    /** An invalid request, or a connection above the limit, was rejected with the error. */
    virtual void inputRejected(const Error &error) = 0;
};

struct RelayServerSettings
{
    /** "a.b.c.d:port". */
    std::string listenAddress;
    /** Origin of the requests' identifiers; differs for each incarnation of the node. */
    std::uint64_t origin = 0;
    std::size_t maxConnections = 2000;
    /** Bytes buffered for all requests that are incomplete or not yet answered. */
    std::size_t maxInputBytes = 48 * 1024 * 1024;

    bool operator==(const RelayServerSettings &) const = default;
};

class RelayServer
{
public:
    /** The codec and the observer must outlive the server. */
    RelayServer(RelayServerSettings settings,
                boost::asio::io_context &context,
                const RelayHeaderCodec &codec,
                RelayCallerObserver &observer);
    ~RelayServer();

    Result<Success> start();

    /** Sets the limits for requests that begin afterwards. */
    void setLimits(const InputLimits &limits);

    /** Begins the response; a response without a length is sent chunked. */
    void begin(const RequestId &request, const RelayResponse &response);
    void append(const RequestId &request, std::string_view bytes);
    /** Ends the response. */
    void finish(const RequestId &request);
    /** Responds with an error that the node itself generates; only before begin(). */
    void refuse(const RequestId &request, const Error &error, Outcome outcome);
    /** Closes the connection in the middle of a response. */
    void abortResponse(const RequestId &request);

    /** From now on announces with each response that its connection closes. */
    void announceClose();

    /** Stops accepting connections, and closes those without a request. To be called repeatedly until isDrained(). */
    void drain();

    /** True if no connection has, or may still receive, a request or a response in progress. */
    bool isDrained() const;

    /** Connections on which a request, or a part of one, has arrived that has not been reported yet. */
    std::size_t countUnreportedInput() const;

    /** Closes connections that have been idle, or have taken too long to send a request. To be called a few times per
     *  second. */
    void tick();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace GeraniumLever
