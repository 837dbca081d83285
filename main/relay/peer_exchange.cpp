#include "main/relay/peer_exchange.h"

#include <utility>

#include <glog/logging.h>

namespace GeraniumLever {

namespace {

/** Time between the node's registration and its first read, so that nodes that start together find each other. */
constexpr std::chrono::milliseconds InitialReadDelay(900);
/** The list changes only when nodes start or stop, and a new node is noticed earlier by its reports. */
constexpr std::chrono::seconds NodeListReadPeriod(20);
/** A report from an unknown node triggers a read of the list, at most once per this interval. */
constexpr std::chrono::seconds MinNodeListReadInterval(2);

/** Work reports continue for this long after the last request, so that the collector learns that the work has ended. */
constexpr Duration WorkReportTrailingTime = std::chrono::seconds(2);

template<typename Message>
const NodeName &senderOf(const Message &message)
{
    return message.node;
}

const NodeName &senderOf(const WorkTotals &totals)
{
    return totals.collector;
}

} // namespace

PeerExchange::PeerExchange(boost::asio::io_context &context,
                           PeerNode self,
                           PlatformStore &store,
                           const Clock &clock,
                           RelaySystem &system,
                           PeerExchangeObserver &observer)
    : self_(std::move(self))
    , store_(store)
    , clock_(clock)
    , system_(system)
    , observer_(observer)
    , link_(context, [this](const std::string &from, const PeerDatagram &message) { handleDatagram(from, message); })
    , readTimer_(context)
    , reportTimer_(context)
    , workTimer_(context)
{
}

Result<Success> PeerExchange::start()
{
    if (self_.address.empty()) {
        return Success {};
    }
    Result<Success> started = link_.start(self_.address);
    if (!succeeded(started)) {
        return started;
    }
    readNodes(InitialReadDelay);
    sendReports();
    sendWorkReports();
    return started;
}

void PeerExchange::stop()
{
    stopped_ = true;
    readTimer_.cancel();
    reportTimer_.cancel();
    if (!self_.address.empty()) {
        removeNode();
    }
}

void PeerExchange::removeNode()
{
    const auto kept = [](const Error &error) {
        LOG(WARNING) << "event=node_entry_kept message=\"" << error.message << '"';
    };
    // The call may be carried out after the node's next process has written its own entry.
    store_.readNodes([this, kept](const Result<StoredNodes> &result) {
        if (!succeeded(result)) {
            kept(errorOf(result));
            return;
        }
        for (const PeerNode &listed : valueOf(result).nodes) {
            if (listed.node == self_.node && listed.incarnation == self_.incarnation) {
                store_.removeNode(listed, [kept](const Result<StoreState> &removed) {
                    if (!succeeded(removed)) {
                        kept(errorOf(removed));
                    }
                });
            }
        }
    });
}

void PeerExchange::send(const OutgoingStreamMessage &message)
{
    std::visit([&](const auto &value) { link_.send(message.address, value); }, message.message);
}

void PeerExchange::send(const OutgoingCrashReport &message)
{
    link_.send(message.address, message.report);
}

void PeerExchange::send(const OutgoingLimitReport &message)
{
    link_.send(message.address, message.report);
}

void PeerExchange::registerNode()
{
    registering_ = true;
    store_.writeNode(self_, [this](const Result<StoreState> &result) {
        registering_ = false;
        if (succeeded(result)) {
            system_.nodeRegistered(valueOf(result), clock_.now());
            return;
        }
        LOG_IF(WARNING, !stopped_) << "event=node_entry_failed message=\"" << errorOf(result).message << '"';
    });
}

void PeerExchange::renewRegistration()
{
    if (system_.fleet().needsRegistration() && !registering_) {
        registerNode();
    }
    if (system_.fleet().needsNodes(clock_.now()) && !hasReadLately()) {
        readNodes(NodeListReadPeriod);
    }
}

bool PeerExchange::hasReadLately() const
{
    return std::chrono::steady_clock::now() - lastRead_ <= MinNodeListReadInterval;
}

void PeerExchange::readNodes(std::chrono::steady_clock::duration nextDelay)
{
    lastRead_ = std::chrono::steady_clock::now();
    const TimePoint asOf = clock_.now();
    store_.readNodes([this, asOf, nextDelay](const Result<StoredNodes> &result) {
        if (stopped_) {
            return;
        }
        if (!succeeded(result)) {
            scheduleRead(MinNodeListReadInterval);
            return;
        }
        const std::optional<std::size_t> previousCount = system_.fleet().peers().nodeCount();
        observer_.nodesRead(valueOf(result), asOf);
        if (previousCount != system_.fleet().peers().nodeCount()) {
            LOG(INFO) << "event=nodes_listed nodes=" << valueOf(result).nodes.size()
                      << " targets=" << system_.fleet().peers().targets().size();
        }
        if (nextDelay == InitialReadDelay) {
            sendReportsOnce();
        }
        scheduleRead(nextDelay);
    });
}

void PeerExchange::scheduleRead(std::chrono::steady_clock::duration delay)
{
    readTimer_.expires_after(delay);
    readTimer_.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && !stopped_) {
            readNodes(NodeListReadPeriod);
        }
    });
}

void PeerExchange::sendReports()
{
    renewRegistration();
    sendReportsOnce();
    reportTimer_.expires_after(PeerReportPeriod);
    reportTimer_.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && !stopped_) {
            sendReports();
        }
    });
}

void PeerExchange::sendReportsOnce()
{
    const std::optional<CrashReport> crashes = system_.crashReport(clock_.now());
    const std::optional<LimitReport> limits = system_.limitReport(clock_.now());
    for (const PeerNode &peer : system_.fleet().peers().targets()) {
        link_.send(peer.address, system_.reportFor(peer.node, clock_.now()));
        if (crashes.has_value()) {
            link_.send(peer.address, *crashes);
        }
        if (limits.has_value()) {
            link_.send(peer.address, *limits);
        }
    }
}

void PeerExchange::sendWorkReports()
{
    const TimePoint now = clock_.now();
    if (system_.inFlight() != 0) {
        lastActive_ = now;
    }
    if (now - lastActive_ < WorkReportTrailingTime) {
        const PeerNode *collector = system_.workCollector(now);
        const NodeName name = collector == nullptr ? NodeName() : collector->node;
        if (name != collector_) {
            LOG(INFO) << "event=work_collector node=" << name.text() << " before=" << collector_.text();
            collector_ = name;
        }
        for (const OutgoingWorkReport &message : system_.reportWork(now)) {
            link_.send(message.address, message.report);
        }
    }
    workTimer_.expires_after(WorkReportPeriod);
    workTimer_.async_wait([this](const boost::system::error_code &cancelled) {
        // Not checked against stopped_: a stopping node reports its work until its last request has ended.
        if (!cancelled) {
            sendWorkReports();
        }
    });
}

void PeerExchange::handleDatagram(const std::string &from, const PeerDatagram &message)
{
    const PeerNode *peer = system_.fleet().peers().nodeAt(from);
    const NodeName &sender = std::visit([](const auto &value) -> const NodeName & { return senderOf(value); }, message);
    if (peer == nullptr || peer->node != sender) {
        handleStranger(from, message);
        return;
    }
    std::visit([&](const auto &value) { handle(*peer, value); }, message);
}

void PeerExchange::handleStranger(const std::string &from, const PeerDatagram &message)
{
    if (stopped_) {
        return;
    }
    if (!hasReadLately()) {
        readNodes(NodeListReadPeriod);
    } else if (const PeerReport *report = std::get_if<PeerReport>(&message);
               report != nullptr && report->listsReceiver) {
        // Its entry may have been removed without its knowledge.
        link_.send(from, system_.reportFor(report->node, clock_.now()));
    }
}

void PeerExchange::handle(const PeerNode &peer, const PeerReport &report)
{
    if (!report.listsReceiver && !stopped_ && !hasReadLately()) {
        readNodes(NodeListReadPeriod);
    }
    const bool isNew = system_.fleet().peers().isNew(report);
    observer_.peerReportReceived(report);
    // A node that has just started needs to know how old the store's era is before it can accept keys.
    if (isNew && !stopped_) {
        link_.send(peer.address, system_.reportFor(peer.node, clock_.now()));
        const std::optional<CrashReport> crashes = system_.crashReport(clock_.now());
        if (crashes.has_value()) {
            link_.send(peer.address, *crashes);
        }
        const std::optional<LimitReport> limits = system_.limitReport(clock_.now());
        if (limits.has_value()) {
            link_.send(peer.address, *limits);
        }
    }
}

void PeerExchange::handle(const PeerNode &peer, const WorkReport &report)
{
    const std::optional<WorkTotals> totals = system_.workReportReceived(report, clock_.now());
    if (totals.has_value()) {
        link_.send(peer.address, *totals);
    }
}

void PeerExchange::handle(const PeerNode &, const WorkTotals &totals)
{
    system_.workTotalsReceived(totals, clock_.now());
}

void PeerExchange::handle(const PeerNode &, const StreamRecord &record)
{
    system_.streamRecordReceived(record, clock_.now());
}

void PeerExchange::handle(const PeerNode &peer, const StreamQuery &query)
{
    link_.send(peer.address, system_.answerStreamQuery(query, clock_.now()));
}

void PeerExchange::handle(const PeerNode &, const CrashReport &report)
{
    system_.crashReportReceived(report, clock_.now());
}

void PeerExchange::handle(const PeerNode &, const LimitReport &report)
{
    observer_.limitReportReceived(report);
}

void PeerExchange::handle(const PeerNode &, const OriginReport &report)
{
    system_.originReportReceived(report, clock_.now());
}

void PeerExchange::handle(const PeerNode &, const StreamReply &reply)
{
    observer_.streamReplyReceived(reply);
}

} // namespace GeraniumLever
