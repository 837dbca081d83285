/** Polls the store for the configuration and the registered upstreams. */
#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "platform/platform.h"

namespace GeraniumLever {

/** Receives the results of the reads. asOf: time just before the read was sent. */
class StorePollObserver
{
public:
    virtual ~StorePollObserver() = default;
    virtual void configurationRead(const StoredConfiguration &configuration, TimePoint asOf) = 0;
    virtual void upstreamsRead(const StoredUpstreams &upstreams, TimePoint asOf) = 0;
    virtual void readFailed(const Error &error) = 0;
    virtual void storeRecovered() = 0;
};

/** Follows the configuration, whose reads wait for its next change, and reads the upstreams periodically. Retries
 * sooner after a failure. */
class StorePoller
{
public:
    /** applyTime: longest time within which the node must know of a change. The store, the clock and the observer must
     * outlive the poller. */
    StorePoller(boost::asio::io_context &context,
                PlatformStore &store,
                Duration applyTime,
                const Clock &clock,
                StorePollObserver &observer);

    void start();
    void stop();

private:
    void readConfiguration();
    void readUpstreams();
    /** Time to wait before a failed read is repeated. */
    Duration retryDelay(TimePoint sentAt);
    void schedule(boost::asio::steady_timer &timer, Duration delay, void (StorePoller::*read)());
    /** Returns true if the store has answered. error: absent if the read has succeeded. */
    bool trackAvailability(const std::optional<Error> &error);

    PlatformStore &store_;
    const Clock &clock_;
    StorePollObserver &observer_;
    Duration configurationWait_;
    Duration minConfigurationPeriod_;
    Duration upstreamPeriod_;
    boost::asio::steady_timer configurationTimer_;
    boost::asio::steady_timer upstreamTimer_;
    RandomSource random_;
    bool storeUnavailable_ = false;
    /** True if the last read of the configuration was not answered. */
    bool configurationLost_ = false;
    /** Number of reads that have failed in a row. */
    unsigned failures_ = 0;
    bool stopped_ = false;
};

} // namespace GeraniumLever
