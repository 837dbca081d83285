/** A small deployment for the review's cases: relay processes, the platform's store and servers. */
#pragma once

#include <atomic>
#include <chrono>
#include <deque>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "../../development/platform_standins/platform_standins.h"

namespace Review {

using std::chrono::milliseconds;

/** Writes what was sent, answered and run, with the time since the start, and to the standard output too. */
class Record
{
public:
    explicit Record(const std::string &path);

    void add(const std::string &line);

private:
    std::mutex mutex_;
    std::ofstream file_;
    std::chrono::steady_clock::time_point start_;
};

struct ServerSettings
{
    std::string id;
    std::string service;
    std::string zone;
    std::string version = "1.0";
    unsigned slots = 48;
};

/** A server of the platform that registers itself and checks who is meant; what it does with a request is up to the
 * case. Lives on the site's event loop. */
class Server
{
public:
    using Session = std::shared_ptr<GeraniumLever::RawSession>;
    using Request = GeraniumLever::RawSession::Request;
    using Work = std::function<void(Server &, const Session &, const Request &)>;

    Server(boost::asio::io_context &context, GeraniumLever::StoreStandIn &store, ServerSettings settings, Work work);

    /** Listens and registers. A server that has run before starts again under its id and address. */
    void start();
    /** Ends like a killed process: its connections are reset, and it writes nothing. */
    void kill();
    /** Sends a heartbeat that the store does not carry out now, and answers never; returns its entry. */
    std::string loseHeartbeat();
    /** Reports at once that it leaves, and in every heartbeat from now on. */
    void drain();
    /** Like kill(), but connections on which nothing is unread end without a reset, as a process that exits leaves
     * them.
     */
    void exit();

    /** Head of an answer, with the empty line if fields is complete. */
    std::string head(unsigned status, const Request &request, const std::string &fields) const;

    const std::string &address() const { return address_; }
    ServerSettings &settings() { return settings_; }
    std::string entry(const std::string &state) const;
    /** The entry that it has written last. */
    std::string entry() const { return entry(state_); }
    boost::asio::io_context &context() { return context_; }
    /** Sessions that exit() closes; filled by the work. */
    std::vector<std::weak_ptr<GeraniumLever::RawSession>> &sessions() { return sessions_; }

private:
    void handle(const Session &session, const Request &request);
    void beat();
    void scheduleHeartbeat();

    boost::asio::io_context &context_;
    GeraniumLever::StoreStandIn &store_;
    ServerSettings settings_;
    Work work_;
    std::string address_;
    std::string state_ = "ready";
    std::unique_ptr<GeraniumLever::RawServer> listener_;
    boost::asio::steady_timer heartbeat_;
    std::vector<std::weak_ptr<GeraniumLever::RawSession>> sessions_;
    std::uint64_t born_ = 0;
    std::uint64_t sequence_ = 0;
};

/** One relay process. */
struct Relay
{
    std::string node;
    std::string zone;
    std::string callerAddress;
    std::string statusAddress;
    std::string settingsPath;
    std::string outputPath;
    std::string settings;
    pid_t process = 0;
};

class Site
{
public:
    explicit Site(std::string folder);
    ~Site();

    /** Runs the step on the event loop and waits for its end. */
    void onLoop(const std::function<void()> &step);

    GeraniumLever::StoreStandIn &store() { return store_; }
    boost::asio::io_context &context() { return context_; }

    /** Writes op/config. */
    void configure(const std::string &json);

    Server &addServer(const ServerSettings &settings, const Server::Work &work);
    /** Starts a relay process. store: the address at which it reaches the store, if not at the store's own. */
    Relay &addRelay(const std::string &zone, const std::string &store = "");
    /** Starts the process of a relay that has ended again. */
    void startAgain(Relay &relay);
    /** False if some relay is not ready in time. */
    bool waitUntilReady(milliseconds timeout);

    std::deque<Relay> &relays() { return relays_; }

private:
    static void launch(Relay &relay, bool isFirstStart);

    std::string folder_;
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    GeraniumLever::StoreStandIn store_;
    std::deque<Server> servers_;
    std::deque<Relay> relays_;
    std::thread thread_;
};

/** False if the variable TROUBLE is 0. */
bool hasTrouble();

} // namespace Review
