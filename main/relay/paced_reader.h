/** Bounds how often something is read on demand. */
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/core.h"

namespace GeraniumLever {

/** Starts one read at a time, and none sooner than a period after the last one. Each request is followed by a read that
 *  starts after it; requests that come meanwhile share it. */
class PacedReader
{
public:
    /** read: starts a read that ends with a call of finished(). */
    PacedReader(boost::asio::io_context &context, std::chrono::milliseconds period, std::function<void()> read);

    void request();
    void finished();
    void stop();

private:
    void startWhenDue();

    std::chrono::milliseconds period_;
    std::function<void()> read_;
    boost::asio::steady_timer timer_;
    std::chrono::steady_clock::time_point nextStart_;
    bool reading_ = false;
    bool waiting_ = false;
    bool requested_ = false;
    bool stopped_ = false;
};

} // namespace GeraniumLever
