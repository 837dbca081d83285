/** Measures the router's memory for streams whose callers read slowly. */
#pragma once

#include <map>
#include <unordered_set>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "development/load/load_settings.h"
#include "drivers/http/http.h"

namespace GeraniumLever {

/** Opens streams, reads each for an instant now and then, and prints the router's memory before and during. */
class HoldLoad
{
public:
    explicit HoldLoad(LoadSettings settings);

    /** False if a stream could not be held open. */
    bool run();

private:
    void open();
    void scheduleRead();
    void readOneStream();
    void take(const Event &event);
    void print(std::size_t before, std::size_t during) const;

    LoadSettings settings_;
    boost::asio::io_context context_;
    boost::asio::steady_timer openTimer_;
    boost::asio::steady_timer readTimer_;
    UpstreamClient client_;
    std::unordered_set<AttemptId> streaming_;
    std::uint64_t lastSequence_ = 0;
    std::uint64_t lastRead_ = 0;
    std::size_t ended_ = 0;
    std::size_t failed_ = 0;
    std::map<UpstreamFailure::Kind, std::size_t> failures_;
};

} // namespace GeraniumLever
