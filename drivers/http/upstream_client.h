/** Exchanges with upstreams. */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/core.h"

namespace GeraniumLever {

struct UpstreamClientSettings
{
    Duration connectTimeout = std::chrono::seconds(1);
    Duration probeTimeout = std::chrono::seconds(1);
    /** Pause between two reads of a watched upstream's load and cache events. */
    Duration watchPeriod = std::chrono::milliseconds(500);
    std::size_t maxPooledPerUpstream = 64;

    bool operator==(const UpstreamClientSettings &) const = default;
};

/** An upstream whose load is to be read. */
struct WatchedUpstream
{
    UpstreamName upstream;
    std::string address;

    auto operator<=>(const WatchedUpstream &) const = default;
};

class UpstreamClient
{
public:
    using Sink = std::function<void(Event)>;

    UpstreamClient(UpstreamClientSettings settings, boost::asio::io_context &context, Sink sink);
    ~UpstreamClient();

    /** Begins an attempt. Reports UpstreamHead, UpstreamData, UpstreamEnd or UpstreamFailure under its identifier.
     *  An attempt is sent at most once: a pooled connection that turns out dead before any byte was written is
     * replaced, one that fails later is reported as Broken. */
    void dispatch(const UpstreamDispatch &dispatch);

    /** Closes the attempt's connection; nothing further is reported for it. */
    void cancel(const UpstreamCancel &cancel);

    void setReading(const UpstreamReadControl &reading);
    void probe(const UpstreamProbe &probe);

    /** Sends an order to an engine and reports OrderResult. */
    void order(const EngineOrder &order);

    /** Replaces the upstreams whose load and cache events are read periodically (LoadReport, CacheEvent). */
    void watch(std::vector<WatchedUpstream> upstreams);

    std::size_t openAttempts() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace GeraniumLever
