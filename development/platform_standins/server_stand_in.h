/** Stand-in of a server of the platform: a model server or a plain service. */
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/core.h"
#include "development/platform_standins/raw_session.h"

namespace GeraniumLever {

/** A request as a server has run it. */
struct ServerRun
{
    std::string server;
    std::string method;
    std::string target;
    std::string body;
    std::string tenant;
    std::string deadline;
    /** Fields that only the system may set, and the caller's key, as far as they arrived. */
    std::string unexpected;
    std::uint64_t lastEventId = 0;
    /** The server's software version. */
    std::string version;

    auto operator<=>(const ServerRun &) const = default;
};

/** A request that has reached a server. */
struct ServerArrival
{
    std::string requestId;
    std::chrono::steady_clock::time_point at;
    /** Counts the server's starts, from 1. */
    std::uint64_t incarnation = 1;
    /** The time with which the request was turned away; empty if it was not, or without one. */
    std::string pause;
};

/** What all servers have run, by the request's identifier. */
using RunLedger = std::map<std::string, std::vector<ServerRun>>;

struct ServerSettings
{
    std::string listenAddress;
    /** The name under which it registers itself. */
    std::string id;
    std::string service;
    std::string zone = "dc";
    std::uint32_t slots = 8;
    /** Of its software. */
    std::string version = "v1";

    bool operator==(const ServerSettings &) const = default;
};

/**
 * Answers with a text that follows from the request alone, so that whole answers can be checked byte for byte. The
 * request's own field "Stand-In" says what goes wrong, in words separated by blanks:
 *   events=N         answers with N server-sent events
 *   gap=MS           pause before each event, and before an answer without events
 *   pieces=N         sends the body of an answer without events in N pieces, with the pause before each
 *   first            what follows holds only for the first run of the request
 *   cut=N            closes in the middle of event N + 1, or of the body, or after piece N
 *   short=N          ends the body in the middle of event N + 1 as if it were complete
 *   stop=N           closes after event N
 *   hard             resets the connection where it would close it
 *   reset            resets the connection in place of an answer
 *   crash            begins to answer if it has events, then resets all connections, and all further ones until it is
 *                    started again
 *   fail             answers 500
 *   full             answers 503 and states that nothing ran
 *   pause=SECONDS    as "full", with this text as the time for which it wants no requests
 *   extra            sends the answer twice
 *   foreign          answers with another request's identifier
 *   junk             sends bytes that are no answer
 *   mute             gives no answer
 *   endless          begins a body and sends bytes until the caller closes
 *   unframed         sends neither a length nor chunks; the body ends with the connection
 *   leaving          states in its answer that the server is leaving
 */
class ServerStandIn
{
public:
    ServerStandIn(ServerSettings settings, boost::asio::io_context &context, RunLedger &ledger);

    std::string address() const { return server_.address(); }

    /** Registers under this address from now on, instead of the one that it listens on. */
    void advertise(const std::string &address) { advertisedAddress_ = address; }

    /** The row that it writes into the store. */
    std::string registration(const std::string &state = "ready") const;

    /** Resets all connections and accepts no more. */
    void crash() { server_.stop(); }

    /** States in all further answers that the server is leaving; it goes on serving. */
    void leave() { leaving_ = true; }

    /** States this limit of requests a second in all further answers; empty: none. */
    void limit(const std::string &perSecond) { limit_ = perSecond; }

    /** Sends nothing and looks at no request for a while, then goes on where it was. */
    void fallSilent(std::chrono::milliseconds duration) { silentUntil_ = std::chrono::steady_clock::now() + duration; }

    /** Turns all further requests away with this text as the time for which it wants none; empty: serves again. */
    void pause(const std::string &seconds) { pause_ = seconds; }

    /** Becomes another incarnation under the same name and address. */
    void startAgain()
    {
        ++incarnation_;
        leaving_ = false;
        crashed_ = false;
    }

    /** True from a crash until it is started again. */
    bool isCrashed() const { return crashed_; }

    /** Counts the server's starts, from 1. */
    std::uint64_t incarnation() const { return incarnation_; }

    /** Requests that are being answered. */
    std::uint32_t running() const { return running_; }

    /** Requests that have arrived, whether they ran or not. */
    const std::vector<ServerArrival> &arrivals() const { return arrivals_; }

private:
    struct Job;

    void handle(const std::shared_ptr<RawSession> &session, const RawSession::Request &request);
    void turnAway(const std::shared_ptr<RawSession> &session,
                  const std::string &requestId,
                  const std::string &pause,
                  bool leaving);
    void run(const std::shared_ptr<RawSession> &session, const RawSession::Request &request);
    /** Runs the step after a delay, or when the server is no longer silent, unless the job is over by then. */
    void schedule(const std::shared_ptr<Job> &job, std::chrono::milliseconds delay, std::function<void()> step);
    void sendNextEvent(const std::shared_ptr<Job> &job);
    /** Goes on with single bytes of an event that never ends. */
    void trickle(const std::shared_ptr<Job> &job);
    void sendEndlessly(const std::shared_ptr<Job> &job);
    void crashSoon(const std::shared_ptr<Job> &job);
    /** The job no longer counts as running. */
    void release(const std::shared_ptr<Job> &job);
    /** Sends the rest of the body in the pieces that are left. */
    void sendNextPiece(const std::shared_ptr<Job> &job, const std::string &rest);
    void answerWhole(const std::shared_ptr<Job> &job);
    std::string head(unsigned status,
                     const std::string &requestId,
                     const std::string &fields,
                     bool leaving = false) const;

    ServerSettings settings_;
    boost::asio::io_context &context_;
    RunLedger &ledger_;
    std::vector<ServerArrival> arrivals_;
    std::uint32_t running_ = 0;
    std::uint64_t incarnation_ = 1;
    std::string advertisedAddress_;
    bool leaving_ = false;
    bool crashed_ = false;
    std::chrono::steady_clock::time_point silentUntil_;
    std::string pause_;
    std::string limit_;
    RawServer server_;
};

/** The whole body that a server answers with. */
std::string standInBody(const std::string &method, const std::string &target, const std::string &body);

/** Event number index, from 1, of a stream. */
std::string standInEvent(const std::string &target, const std::string &body, std::uint64_t index);

/** The whole stream. */
std::string standInEvents(const std::string &target, const std::string &body, std::uint64_t count);

} // namespace GeraniumLever
