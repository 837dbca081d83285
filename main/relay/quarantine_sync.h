/** Keeps the quarantined prompt parts in the store, so that they outlast all nodes. */
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "platform/platform.h"

namespace GeraniumLever {

/** Reads the store's list when the node starts, whenever this node's own has changed, and periodically. */
class QuarantineSync
{
public:
    /** The arguments must outlive the object. */
    QuarantineSync(boost::asio::io_context &context, PlatformStore &store, const Clock &clock, RelaySystem &system);

    void start() { read(); }
    void stop();

private:
    void read();
    void update(const StoredQuarantine &stored);
    void scheduleCheck();
    /** Reads the list if it is due. */
    void check();

    PlatformStore &store_;
    const Clock &clock_;
    RelaySystem &system_;
    boost::asio::steady_timer timer_;
    /** When the last read was sent. */
    TimePoint readAt_;
    std::uint64_t syncedRevision_ = 0;
    /** True if the store's list is known and was this node's own when it was last read. */
    bool agrees_ = false;
    bool stopped_ = false;
};

} // namespace GeraniumLever
