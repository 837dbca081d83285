/** One running node: its logic between the adapters. */
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/core.h"
#include "drivers/settings/settings.h"

namespace GeraniumLever {

/** Runs on one thread, that of the context. */
class EntryNode
{
public:
    /** stopped is called once, when a requested stop is complete. */
    EntryNode(Settings settings, boost::asio::io_context &context, std::function<void()> stopped);
    ~EntryNode();

    /** Opens the listeners; the error names the first address that cannot be bound. */
    Result<Success> start();

    /** Begins the planned stop: no request in flight is cut. Further calls change nothing. */
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
