/** Load of streamed completions: a fixed number of them is always open. */
#pragma once

#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "development/load/load_settings.h"
#include "development/load/stream_record.h"
#include "drivers/http/http.h"

namespace GeraniumLever {

class StreamLoad
{
public:
    explicit StreamLoad(LoadSettings settings);

    /** Runs until the bounds are reached and every stream has ended, then prints the figures. False if a stream was
     *  not whole. */
    bool run();

private:
    void begin();
    void take(const Event &event);
    void end(const AttemptId &attempt, bool completed);
    void print(Duration elapsed, std::optional<double> processorTime) const;

    LoadSettings settings_;
    boost::asio::io_context context_;
    SteadyClock clock_;
    UpstreamClient client_;
    std::unordered_map<AttemptId, StreamRecord> open_;
    LatencySamples firstTokens_;
    LatencySamples gaps_;
    TimePoint begun_;
    std::uint64_t lastSequence_ = 0;
    std::size_t whole_ = 0;
    std::size_t broken_ = 0;
    std::size_t tokens_ = 0;
    std::unordered_map<unsigned, std::size_t> brokenByStatus_;
};

} // namespace GeraniumLever
