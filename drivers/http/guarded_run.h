/** Runs an event loop that outlives unexpected errors. */
#pragma once

#include <exception>
#include <functional>

#include <boost/asio/io_context.hpp>

namespace GeraniumLever {

/** Runs the context until it is stopped or has no work. A handler that throws ends, and the others go on: one message
 *  that nobody foresaw must not end the requests of all callers. */
void runGuarded(boost::asio::io_context &context, const std::function<void(const std::exception &)> &report);

} // namespace GeraniumLever
