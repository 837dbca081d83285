/** Runs an io_context until a condition holds, so that no test depends on execution time. */
#pragma once

#include <chrono>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace GeraniumLever {

class EventLoop
{
public:
    boost::asio::io_context &context() { return context_; }

    /** False if the condition does not hold within a generous limit, which only ends tests that have failed. */
    bool runUntil(const std::function<bool()> &condition)
    {
        constexpr std::chrono::seconds Limit(30);
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + Limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= end) {
                return false;
            }
            context_.restart();
            context_.run_one_for(std::chrono::milliseconds(20));
        }
        return true;
    }

private:
    boost::asio::io_context context_;
};

} // namespace GeraniumLever
