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
    /** A list or value that is read again and again. */
    struct Reading
    {
        explicit Reading(boost::asio::io_context &context) : timer(context) { }

        boost::asio::steady_timer timer;
        Duration failurePause { 0 };
    };

    void schedule(Reading &reading, bool succeeded, void (KnowledgeReader::*read)());
    void noteResult(const std::optional<Error> &error);

    PlatformStore &store_;
    const Clock &clock_;
    KnowledgeObserver &observer_;
    Duration period_;
    Reading configuration_;
    Reading upstreams_;
    RandomSource random_;
    bool storeLost_ = false;
    bool stopped_ = false;
};

} // namespace GeraniumLever
