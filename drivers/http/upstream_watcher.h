/** Periodic reading of one upstream's load and cache events. */
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/steady_timer.hpp>

#include "drivers/http/http_client.h"
#include "drivers/http/upstream_client.h"

namespace GeraniumLever {

class UpstreamWatcher : public std::enable_shared_from_this<UpstreamWatcher>
{
public:
    using Sink = std::function<void(Event)>;

    /** The client must outlive the watcher. */
    UpstreamWatcher(boost::asio::io_context &context,
                    HttpClient &client,
                    const UpstreamClientSettings &settings,
                    WatchedUpstream watched,
                    Sink sink);

    void start();

    /** Nothing is reported afterwards. */
    void stop();

private:
    void readLoad();
    void loadReceived(const HttpResult &result);
    void readCacheEvents();
    void cacheEventsReceived(const HttpResult &result);
    void waitForNextRead();
    HttpRequest makeRequest(std::string target) const;

    HttpClient &client_;
    boost::asio::steady_timer timer_;
    WatchedUpstream watched_;
    Duration period_;
    Duration timeout_;
    Sink sink_;
    /** Highest sequence number that has been reported. */
    std::uint64_t lastSequence_ = 0;
    bool stopped_ = false;
};

} // namespace GeraniumLever
