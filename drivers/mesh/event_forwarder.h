/** Forwards events from the mesh thread to the owner's io_context. */
#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/core.h"

namespace GeraniumLever {

/** Posts events to the io_context in FIFO order. No event reaches the sink after close(). */
class EventForwarder
{
public:
    using Sink = std::function<void(Event)>;

    EventForwarder(boost::asio::io_context &context, Sink sink);

    /** May be called from any thread. */
    void post(Event event);

    /** Must be called from the io_context's thread. */
    void close();

private:
    struct Target
    {
        Sink sink;
        std::atomic<bool> open = true;
    };

    boost::asio::io_context &context_;
    std::shared_ptr<Target> target_;
};

} // namespace GeraniumLever
