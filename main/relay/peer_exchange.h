/** Exchange of reports with the other relays. */
#pragma once

#include <boost/asio/steady_timer.hpp>

#include "drivers/peers/peers.h"
#include "drivers/settings/settings.h"
#include "platform/platform.h"

namespace GeraniumLever {

/** Receives what may lead to commands. */
class PeerExchangeObserver
{
public:
    virtual ~PeerExchangeObserver() = default;
    virtual void nodesRead(const StoredNodes &nodes, TimePoint asOf) = 0;
    virtual void peerReportReceived(const PeerReport &report) = 0;
    virtual void streamReplyReceived(const StreamReply &reply) = 0;
    virtual void limitReportReceived(const LimitReport &report) = 0;
};

/** Registers the node in the store, discovers the other relays there, and sends and receives reports. */
class PeerExchange
{
public:
    /** The store, the clock, the system and the observer must outlive the exchange. */
    PeerExchange(boost::asio::io_context &context,
                 PeerNode self,
                 PlatformStore &store,
                 const Clock &clock,
                 RelaySystem &system,
                 PeerExchangeObserver &observer);

    /** Does nothing if the node has no peer address. */
    Result<Success> start();

    /** Removes the node's entry from the store. */
    void stop();

    void send(const OutgoingStreamMessage &message);
    void send(const OutgoingCrashReport &message);
    void send(const OutgoingLimitReport &message);

private:
    void registerNode();
    /** Removes the entry of this process. */
    void removeNode();
    /** Writes the node's entry and reads the others if the store may have lost some. */
    void renewRegistration();
    bool hasReadLately() const;
    /** nextDelay: time until the list is read again. */
    void readNodes(std::chrono::steady_clock::duration nextDelay);
    void scheduleRead(std::chrono::steady_clock::duration delay);
    /** Sends reports, and again after each PeerReportPeriod. */
    void sendReports();
    void sendReportsOnce();
    void sendWorkReports();
    void handleDatagram(const std::string &from, const PeerDatagram &message);
    /** Handles a datagram of a node that is not listed. */
    void handleStranger(const std::string &from, const PeerDatagram &message);
    void handle(const PeerNode &peer, const PeerReport &report);
    void handle(const PeerNode &peer, const WorkReport &report);
    void handle(const PeerNode &peer, const WorkTotals &totals);
    void handle(const PeerNode &peer, const StreamRecord &record);
    void handle(const PeerNode &peer, const StreamQuery &query);
    void handle(const PeerNode &peer, const StreamReply &reply);
    void handle(const PeerNode &peer, const OriginReport &report);
    void handle(const PeerNode &peer, const CrashReport &report);
    void handle(const PeerNode &peer, const LimitReport &report);

    PeerNode self_;
    PlatformStore &store_;
    const Clock &clock_;
    RelaySystem &system_;
    PeerExchangeObserver &observer_;
    PeerLink link_;
    boost::asio::steady_timer readTimer_;
    boost::asio::steady_timer reportTimer_;
    boost::asio::steady_timer workTimer_;
    TimePoint lastActive_;
    /** Node that received the last work reports; used for logging only. */
    NodeName collector_;
    std::chrono::steady_clock::time_point lastRead_;
    bool registering_ = false;
    bool stopped_ = false;
};

} // namespace GeraniumLever
