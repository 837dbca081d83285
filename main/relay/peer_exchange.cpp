#include "main/relay/peer_exchange.h"

#include <utility>

#include <glog/logging.h>

namespace GeraniumLever {

namespace {

constexpr std::chrono::seconds EntryRetryPause(1);
/** After the node's own entry, so that nodes that start together find each other. */
constexpr std::chrono::milliseconds FirstReadPause(900);
/** The list changes only when nodes come and go, and those that come announce themselves by their reports. */
constexpr std::chrono::seconds ReadPause(20);
/** A report of a node that is not listed causes a read, but not more often than this. */
constexpr std::chrono::seconds ShortestReadPause(2);

/** Work is reported for so long after the last request, so that its end is known, too. */
constexpr Duration WorkAfterglow = std::chrono::seconds(2);

const NodeName &senderOf(const PeerReport &report)
{
    return report.node;
}

const NodeName &senderOf(const WorkReport &report)
{
    return report.node;
}

const NodeName &senderOf(const WorkTotals &totals)
{
    return totals.collector;
}

} // namespace

PeerExchange::PeerExchange(
    boost::asio::io_context &context, PeerNode self, PlatformStore &store, const Clock &clock, RelaySystem &system)
    : self_(std::move(self))
    , store_(store)
    , clock_(clock)
    , system_(system)
    , link_(context, [this](const std::string &from, const PeerDatagram &message) { received(from, message); })
    , entryTimer_(context)
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
    enter();
    scheduleRead(FirstReadPause);
    sendReports();
    sendWork();
    return started;
}

void PeerExchange::stop()
{
    stopped_ = true;
    entryTimer_.cancel();
    readTimer_.cancel();
    reportTimer_.cancel();
    if (!self_.address.empty()) {
        store_.removeNode(self_.node, [](const Result<Success> &result) {
            LOG_IF(WARNING, !succeeded(result)) << "event=node_entry_kept message=\"" << errorOf(result).message << '"';
        });
    }
}

void PeerExchange::enter()
{
    store_.writeNode(self_, [this](const Result<Success> &result) {
        if (succeeded(result) || stopped_) {
            return;
        }
        LOG(WARNING) << "event=node_entry_failed message=\"" << errorOf(result).message << '"';
        entryTimer_.expires_after(EntryRetryPause);
        entryTimer_.async_wait([this](const boost::system::error_code &cancelled) {
            if (!cancelled && !stopped_) {
                enter();
            }
        });
    });
}

void PeerExchange::readNodes()
{
    lastRead_ = std::chrono::steady_clock::now();
    store_.readNodes([this](const Result<std::vector<PeerNode>> &result) {
        if (stopped_) {
            return;
        }
        if (!succeeded(result)) {
            scheduleRead(ShortestReadPause);
            return;
        }
        const std::optional<std::size_t> before = system_.peers().nodeCount();
        system_.updateNodes(valueOf(result));
        if (before != system_.peers().nodeCount()) {
            LOG(INFO) << "event=nodes_listed nodes=" << valueOf(result).size()
                      << " targets=" << system_.peers().targets().size();
        }
        scheduleRead(ReadPause);
    });
}

void PeerExchange::scheduleRead(std::chrono::steady_clock::duration pause)
{
    readTimer_.expires_after(pause);
    readTimer_.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && !stopped_) {
            readNodes();
        }
    });
}

void PeerExchange::sendReports()
{
    for (const PeerNode &peer : system_.peers().targets()) {
        link_.send(peer.address, system_.reportFor(peer.node, clock_.now()));
    }
    reportTimer_.expires_after(PeerReportPeriod);
    reportTimer_.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled && !stopped_) {
            sendReports();
        }
    });
}

void PeerExchange::sendWork()
{
    const TimePoint now = clock_.now();
    if (system_.inFlight() != 0) {
        lastWork_ = now;
    }
    if (now - lastWork_ < WorkAfterglow) {
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
        // Goes on during a stop, for as long as the node has requests.
        if (!cancelled) {
            sendWork();
        }
    });
}

void PeerExchange::received(const std::string &from, const PeerDatagram &message)
{
    const PeerNode *peer = system_.peers().nodeAt(from);
    const NodeName &sender = std::visit([](const auto &value) -> const NodeName & { return senderOf(value); }, message);
    if (peer == nullptr || peer->node != sender) {
        if (!stopped_ && std::chrono::steady_clock::now() - lastRead_ > ShortestReadPause) {
            readNodes();
        }
        return;
    }
    std::visit([&](const auto &value) { take(*peer, value); }, message);
}

void PeerExchange::take(const PeerNode &, const PeerReport &report)
{
    system_.peerReportReceived(report, clock_.now());
}

void PeerExchange::take(const PeerNode &peer, const WorkReport &report)
{
    const std::optional<WorkTotals> totals = system_.workReportReceived(report, clock_.now());
    if (totals.has_value()) {
        link_.send(peer.address, *totals);
    }
}

void PeerExchange::take(const PeerNode &, const WorkTotals &totals)
{
    system_.workTotalsReceived(totals, clock_.now());
}

} // namespace GeraniumLever
