/** Way of events from the mesh's thread to the owner's context. */
#pragma once

#include <atomic>
#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/core.h"

namespace GeraniumLever {

/** Posts events to the context in the order in which they are given; none reaches the sink after close(). */
class EventRelay
{
public:
    using Sink = std::function<void(Event)>;

    EventRelay(boost::asio::io_context &context, Sink sink);

    /** To be called from any thread. */
    void post(Event event);

    /** To be called from the context's thread. */
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
