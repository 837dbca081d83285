/** Measures what the router adds to the time to the first byte. */
#pragma once

#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "development/load/latency_samples.h"
#include "development/load/load_settings.h"
#include "drivers/http/http.h"

namespace GeraniumLever {

/** Sends requests at a fixed rate, alternately to the engine and through the router. */
class CompareLoad
{
public:
    explicit CompareLoad(LoadSettings settings);

    /** False if an answer was incomplete. */
    bool run();

private:
    struct OpenRequest
    {
        TimePoint begun;
        bool throughRouter = false;
        bool answered = false;
    };

    void scheduleNext();
    void begin();
    void take(const Event &event);
    void firstByte(const AttemptId &attempt);
    void end(const AttemptId &attempt, bool completed);

    LoadSettings settings_;
    boost::asio::io_context context_;
    boost::asio::steady_timer timer_;
    SteadyClock clock_;
    UpstreamClient client_;
    std::unordered_map<AttemptId, OpenRequest> open_;
    LatencySamples direct_;
    LatencySamples routed_;
    TimePoint begun_;
    std::uint64_t lastSequence_ = 0;
    std::size_t incomplete_ = 0;
    bool finished_ = false;
};

} // namespace GeraniumLever
