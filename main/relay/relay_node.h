/** The relay process: connects the relay logic with its network and store drivers. */
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
    /** stopped: called once a stop has completed. The log must outlive the node. */
    RelayNode(RelaySettings settings,
              boost::asio::io_context &context,
              NonBlockingLogSink &log,
              std::function<void()> stopped);
    ~RelayNode();

    Result<Success> start();

    /** Finishes the requests in flight, then calls the stopped callback. Further calls have no effect. */
    void stop();

    /** Applies changed settings; changed addresses take effect only at the next start. */
    void reload(const RelaySettings &settings);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace GeraniumLever
