/** The listener for callers whose requests are passed on. */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "drivers/http/http.h"
#include "drivers/relay/relay_header_codec.h"

namespace GeraniumLever {

/** Takes what callers do; called on the context's thread. */
class RelayCallerObserver
{
public:
    virtual ~RelayCallerObserver() = default;
    virtual void callArrived(RelayCallPtr call) = 0;
    virtual void callerGone(const RequestId &request) = 0;
    /** The caller reads too slowly (true), or has caught up (false). */
    virtual void callerBacklog(const RequestId &request, bool backlogged) = 0;
    /** Input that is no request was answered with the error. */
    virtual void inputRejected(const Error &error) = 0;
};

struct RelayServerSettings
{
    /** "a.b.c.d:port". */
    std::string listenAddress;
    /** Origin of the requests' identifiers; distinguishes the node's incarnation. */
    std::uint64_t origin = 0;
    std::size_t maxConnections = 2000;
    /** Bytes of all requests that have not arrived whole or are not yet answered. */
    std::size_t maxInputBytes = 48 * 1024 * 1024;

    bool operator==(const RelayServerSettings &) const = default;
};

class RelayServer
{
public:
    /** The dialect and the observer must outlive the server. */
    RelayServer(RelayServerSettings settings,
                boost::asio::io_context &context,
                const RelayDialect &dialect,
                RelayCallerObserver &observer);
    ~RelayServer();

    Result<Success> start();

    /** Limits for requests that begin afterwards. */
    void setLimits(const InputLimits &limits);

    /** Begins the answer; answers without a length are sent in chunks. */
    void begin(const RequestId &request, const RelayAnswer &answer);
    void append(const RequestId &request, std::string_view bytes);
    /** The answer is whole. */
    void finish(const RequestId &request);
    /** Answers with an error of the node itself; only before begin(). */
    void refuse(const RequestId &request, const Error &error, Outcome outcome);
    /** Closes the connection in the middle of an answer. */
    void breakOff(const RequestId &request);

    /** Announces with each answer that its connection closes. */
    void announceClose();

    /** Accepts nothing more, and closes connections without a request. To be called again until the server is quiet. */
    void drain();

    /** True if no connection has, or may be about to have, a request or an answer under way. */
    bool quiet() const;

    /** Closes connections that have been idle, or have taken too long to send a request. To be called a few times a
     *  second. */
    void tick();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace GeraniumLever
