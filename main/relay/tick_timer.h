/** The timer of periodic checks that take silence for failure. */
#pragma once

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/core.h"

namespace GeraniumLever {

/** Defers a check that comes so late that the process must have been paused: what arrived meanwhile is read first. */
class TickTimer
{
public:
    /** clock: counts the time of a pause; must outlive the timer. tick: may start the timer again. */
    TickTimer(boost::asio::io_context &context, const Clock &clock, std::function<void()> tick);

    /** Calls tick once after the period. Does nothing while the timer is running. */
    void start(std::chrono::milliseconds period);

private:
    void arm(std::chrono::milliseconds period);
    void expired();

    const Clock &clock_;
    std::function<void()> tick_;
    boost::asio::steady_timer timer_;
    TimePoint dueAt_;
    bool running_ = false;
    bool deferred_ = false;
};

} // namespace GeraniumLever
