#include "drivers/mesh/event_forwarder.h"

#include <utility>

#include <boost/asio/post.hpp>

namespace GeraniumLever {

EventForwarder::EventForwarder(boost::asio::io_context &context, Sink sink)
    : context_(context), target_(std::make_shared<Target>())
{
    target_->sink = std::move(sink);
}

void EventForwarder::post(Event event)
{
    boost::asio::post(context_, [target = target_, event = std::move(event)]() mutable {
        if (target->open) {
            target->sink(std::move(event));
        }
    });
}

void EventForwarder::close()
{
    target_->open = false;
}

} // namespace GeraniumLever
