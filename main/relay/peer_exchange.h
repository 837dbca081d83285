/** Exchange of reports with the other relays. */
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "drivers/peers/peers.h"
#include "drivers/settings/settings.h"
#include "platform/platform.h"

namespace GeraniumLever {

/** Enters the node into the store, finds the others there, and sends and takes reports. */
class PeerExchange
{
public:
    /** The store, the clock and the system must outlive the exchange. */
    PeerExchange(
        boost::asio::io_context &context, PeerNode self, PlatformStore &store, const Clock &clock, RelaySystem &system);

    /** Does nothing if the node has no address for datagrams. */
    Result<Success> start();

    /** Takes the node's entry out of the store. */
    void stop();

private:
    void enter();
    void readNodes();
    void scheduleRead(std::chrono::steady_clock::duration pause);
    void sendReports();
    void sendWork();
    void received(const std::string &from, const PeerDatagram &message);
    void take(const PeerNode &peer, const PeerReport &report);
    void take(const PeerNode &peer, const WorkReport &report);
    void take(const PeerNode &peer, const WorkTotals &totals);

    PeerNode self_;
    PlatformStore &store_;
    const Clock &clock_;
    RelaySystem &system_;
    PeerLink link_;
    boost::asio::steady_timer entryTimer_;
    boost::asio::steady_timer readTimer_;
    boost::asio::steady_timer reportTimer_;
    boost::asio::steady_timer workTimer_;
    TimePoint lastWork_;
    /** To which reports of work went last; for log lines. */
    NodeName collector_;
    std::chrono::steady_clock::time_point lastRead_;
    bool stopped_ = false;
};

} // namespace GeraniumLever
