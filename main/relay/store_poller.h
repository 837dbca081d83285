/** Periodic reading of the configuration and the registered upstreams. */
#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/steady_timer.hpp>

#include "platform/platform.h"

namespace GeraniumLever {

/** Takes what was read; asOf is the moment before the call was sent. */
class KnowledgeObserver
{
public:
    virtual ~KnowledgeObserver() = default;
    virtual void configurationRead(SiteConfigurationPtr configuration, TimePoint asOf) = 0;
    virtual void upstreamsRead(std::vector<UpstreamEntry> upstreams, TimePoint asOf) = 0;
    virtual void readFailed(const Error &error) = 0;
    virtual void storeRegained() = 0;
};

/** Reads both at a steady period, and sooner after a failure. */
class KnowledgeReader
{
public:
    /** applyTime: how soon after a change it must be known. The store, the clock and the observer must outlive the
     * reader. */
    KnowledgeReader(boost::asio::io_context &context,
                    PlatformStore &store,
                    Duration applyTime,
                    const Clock &clock,
                    KnowledgeObserver &observer);

    void start();
    void stop();

private:
    void readConfiguration();
    void readUpstreams();
    void schedule(boost::asio::steady_timer &timer, bool succeeded, void (KnowledgeReader::*read)());
    void noteResult(const std::optional<Error> &error);

    PlatformStore &store_;
    const Clock &clock_;
    KnowledgeObserver &observer_;
    Duration period_;
    boost::asio::steady_timer configurationTimer_;
    boost::asio::steady_timer upstreamTimer_;
    RandomSource random_;
    bool storeLost_ = false;
    bool stopped_ = false;
};

} // namespace GeraniumLever
