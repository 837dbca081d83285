/** Stand-in of a model engine: batches continuously, honours priorities, resumes, and reports with a lag. */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/core.h"
#include "development/standins/engine_prefix_cache.h"
#include "development/standins/http_server.h"
#include "development/standins/stand_in_text.h"

namespace GeraniumLever {

struct EngineSettings
{
    /** "a.b.c.d:port". */
    std::string listenAddress;
    /** Requests that run at the same time; others wait. */
    std::uint32_t seats = 8;
    Duration prefillPerToken { 20 };
    /** Gap between two tokens of a request that runs alone; twice as long with all seats taken. */
    Duration tokenGap { 5000 };
    /** Longest answer in tokens if the request sets no limit. */
    std::uint32_t maxTokens = 64;
    Duration loadLag { 0 };
    Duration cacheEventLag { 0 };
    std::size_t cacheBlocks = 1024;
    /** True if orders with an old fencing number are refused. */
    bool checksFence = false;
    /** How long an order to load a model keeps the engine from being ready. */
    Duration loadingTime { 0 };

    bool operator==(const EngineSettings &) const = default;
};

class EngineStandIn
{
public:
    /** finished: called once when the engine has left and has nothing more to do. */
    EngineStandIn(EngineSettings settings, boost::asio::io_context &context, std::function<void()> finished);
    ~EngineStandIn();

    std::string address() const { return server_.address(); }

    /** Begins to leave, as on SIGTERM. */
    void leave();

private:
    struct Run;
    using RunPtr = std::shared_ptr<Run>;
    using ConnectionPtr = HttpServer::ConnectionPtr;

    /** What /load answered at one time. */
    struct LoadSample
    {
        TimePoint at;
        std::string body;
    };

    void handle(const ConnectionPtr &connection);
    void beginCompletion(const ConnectionPtr &connection, bool chat);
    void startWaiting();
    void start(const RunPtr &run);
    void scheduleToken(const RunPtr &run, Duration delay);
    void emitToken(const RunPtr &run);
    void complete(const RunPtr &run);
    void finish(const RunPtr &run);
    Duration prefillTime(const RunPtr &run);
    Duration tokenGap() const;
    void crash();

    void answerLoad(const ConnectionPtr &connection);
    void answerCacheEvents(const ConnectionPtr &connection);
    void takeOrder(const ConnectionPtr &connection);
    void loadChanged();
    std::string loadBody() const;
    void exitIfIdle();

    EngineSettings settings_;
    boost::asio::io_context &context_;
    std::function<void()> finished_;
    SteadyClock clock_;
    EnginePrefixCache cache_;
    std::vector<RunPtr> waiting_;
    std::vector<RunPtr> running_;
    std::deque<LoadSample> samples_;
    boost::asio::steady_timer leaveTimer_;
    boost::asio::steady_timer loadingTimer_;
    bool leaving_ = false;
    bool closed_ = false;
    bool ready_ = true;
    std::uint64_t highestFence_ = 0;
    std::string modelVersion_ = "v1";
    std::string adapter_;
    std::string role_;
    HttpServer server_;
};

} // namespace GeraniumLever
