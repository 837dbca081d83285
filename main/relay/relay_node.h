/** A process that passes requests on: the relay's logic with its adapters. */
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "drivers/log/log.h"
#include "drivers/settings/settings.h"

namespace GeraniumLever {

class RelayNode
{
public:
    /** stopped: called once a stop is complete. The log must outlive the node. */
    RelayNode(RelaySettings settings, boost::asio::io_context &context, LineLog &log, std::function<void()> stopped);
    ~RelayNode();

    Result<Success> start();

    /** Finishes what is in flight, then reports that it has stopped. A second call changes nothing. */
    void stop();

    /** Takes changed settings; addresses stay as they are until the next start. */
    void reload(const RelaySettings &settings);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
