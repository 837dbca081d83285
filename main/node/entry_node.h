/** One running node: connects its logic to the network, the store and the operators. */
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/core.h"
#include "drivers/settings/settings.h"

namespace GeraniumLever {

/** Runs on a single thread, the one that runs the context. */
class EntryNode
{
public:
    /** `stopped` is called once, when a requested stop is complete. */
    EntryNode(Settings settings, boost::asio::io_context &context, std::function<void()> stopped);
    ~EntryNode();

    /** Opens the listeners; the error names the first address that cannot be bound. */
    Result<Success> start();

    /** Starts a graceful stop, which cuts no request in flight within the stop limit. Further calls have no effect. */
    void stop();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
