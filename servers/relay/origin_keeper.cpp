#include "servers/relay/origin_keeper.h"

#include <algorithm>
#include <set>
#include <utility>

namespace GeraniumLever {

namespace {

/** Least time between two reports, so that those of all nodes take little of the collector's time. */
constexpr Duration MinReportPeriod = std::chrono::milliseconds(50);
constexpr Duration ReportPeriodPerNode = std::chrono::milliseconds(2);
/** Least time between two rows of a collector. */
constexpr Duration MinCollectorPeriod = std::chrono::milliseconds(100);
/** With more data centres, so that all collectors together write 100 times a second. */
constexpr Duration CollectorPeriodPerDataCenter = std::chrono::milliseconds(10);
/** With more streams, so that a collector writes some 100 KB a second. */
constexpr Duration CollectorPeriodPerStream = std::chrono::microseconds(160);
/** Least time between two rows of a node that stores its own streams. */
constexpr Duration MinOwnPeriod = std::chrono::milliseconds(500);
/** With more nodes, so that all together write 100 times a second. */
constexpr Duration OwnPeriodPerNode = std::chrono::milliseconds(10);
/** Time after which a stream that has ended is reported or removed from the row. */
constexpr Duration RemovalDelay = std::chrono::seconds(1);
/** Period in which it is checked of which pools the notes do not tell origins. */
constexpr Duration PoolCheckPeriod = std::chrono::milliseconds(250);
/** Time after a report after which a node stores streams itself that the collector has not stored. */
constexpr Duration CollectorTimeout = std::chrono::milliseconds(600);
/** Bounds the memory of a node that reaches no collector for long. */
constexpr std::size_t MaxUnstored = 64;

} // namespace

void OriginKeeper::Change::noteAdded(TimePoint now)
{
    isPending = true;
    addedAt = addedAt.value_or(now);
}

bool OriginKeeper::Change::isDue(TimePoint last, Duration period, TimePoint now) const
{
    return isPending && now >= last + (addedAt.has_value() ? period : std::max(period, RemovalDelay));
}

void OriginKeeper::updateNodes(const std::vector<PeerNode> &nodes, const DataCenterName &dataCenter)
{
    std::set<DataCenterName> dataCenters;
    localNodes_ = 0;
    for (const PeerNode &node : nodes) {
        dataCenters.insert(node.dataCenter);
        localNodes_ += node.dataCenter == dataCenter ? 1 : 0;
    }
    dataCenters_ = dataCenters.size();
}

void OriginKeeper::add(const std::string &stream, const StreamOrigin &origin, Duration lifetime, TimePoint now)
{
    if (own_.add(stream, origin, now + lifetime)) {
        unreported_.noteAdded(now);
        unwritten_.noteAdded(now);
    }
}

void OriginKeeper::remove(const std::string &stream)
{
    if (own_.remove(stream)) {
        noteRemoved();
    }
}

void OriginKeeper::noteRemoved()
{
    unreported_.isPending = true;
    unwritten_.isPending = true;
}

void OriginKeeper::updatePools(TimePoint now)
{
    if (now < poolsCheckedAt_ + PoolCheckPeriod) {
        return;
    }
    poolsCheckedAt_ = now;
    std::set<PoolName> pools = fleet_.ambiguousPools(now);
    if (pools != pools_) {
        pools_ = std::move(pools);
        unreported_.noteAdded(now);
        unwritten_.noteAdded(now);
    }
}

void OriginKeeper::tick(const PeerNode *collector, TimePoint now, RelayCommands &commands)
{
    updatePools(now);
    if (own_.expire(now)) {
        noteRemoved();
    }
    unwritten_.isPending = collector_.expire(now) || unwritten_.isPending;
    isCollector_ = collector != nullptr && collector->node == self_;
    if (collector != nullptr && !isCollector_ && collector->node != reportedTo_) {
        reportedTo_ = collector->node;
        unreported_.noteAdded(now);
    }
    if (collector != nullptr && !isCollector_ && unreported_.isDue(reportedAt_, reportPeriod(), now)) {
        report(*collector, now, commands);
    }
}

void OriginKeeper::report(const PeerNode &collector, TimePoint now, RelayCommands &commands)
{
    OriginReport report { self_, incarnation_, sequence_ + 1, own_.lifetime(now), own_.streamsOf(pools_) };
    reportedAt_ = now;
    if (countStreams(report.streams) > MaxReported) {
        return;
    }
    const bool isUrgent = std::exchange(unreported_, {}).addedAt.has_value();
    const bool isEmpty = report.streams.empty();
    if (std::exchange(isLastReportEmpty_, isEmpty) && isEmpty) {
        return;
    }
    ++sequence_;
    if (isEmpty) {
        unstored_.clear();
    } else if (isUrgent && unstored_.size() < MaxUnstored) {
        unstored_.emplace(sequence_, now);
    }
    commands.emplace_back(OutgoingStreamMessage { collector.address, std::move(report) });
}

void OriginKeeper::receive(const OriginReport &report, TimePoint now)
{
    switch (collector_.receive(report, now)) {
    case OriginCollector::Received::NewStreams:
        unwritten_.noteAdded(now);
        break;
    case OriginCollector::Received::Shorter:
        unwritten_.isPending = true;
        break;
    case OriginCollector::Received::Ignored:
        break;
    }
}

bool OriginKeeper::isCollectorLate(TimePoint now) const
{
    const bool isReportLate =
        unreported_.addedAt.has_value() && now - *unreported_.addedAt >= reportPeriod() + CollectorTimeout;
    return isReportLate || (!unstored_.empty() && now - unstored_.begin()->second >= CollectorTimeout);
}

Duration OriginKeeper::reportPeriod() const
{
    return std::max(MinReportPeriod, ReportPeriodPerNode * static_cast<Duration::rep>(localNodes_));
}

Duration OriginKeeper::rowPeriod() const
{
    if (!isCollector_ || hasFailed_) {
        const std::size_t nodes = fleet_.nodes().sharingNodes().value_or(NodeRegistry::MinSharingNodes);
        return std::max(MinOwnPeriod, OwnPeriodPerNode * static_cast<Duration::rep>(nodes));
    }
    const std::size_t streams = storedStreams_.has_value() ? countStreams(*storedStreams_) : 0;
    return std::max({ MinCollectorPeriod,
                      CollectorPeriodPerDataCenter * static_cast<Duration::rep>(dataCenters_),
                      CollectorPeriodPerStream * static_cast<Duration::rep>(streams) });
}

std::optional<StoredOriginRow> OriginKeeper::takeRow(TimePoint now)
{
    if (fleet_.storeEras().era() != era_) {
        // A restored store may have lost the row.
        era_ = fleet_.storeEras().era();
        storedStreams_.reset();
        unwritten_.noteAdded(now);
    }
    if (!keepsOwn_ && (isCollector_ || isCollectorLate(now))) {
        keepsOwn_ = true;
        unwritten_.noteAdded(now);
    }
    const bool isEmpty = !keepsOwn_ && collector_.empty() && storedStreams_ == OriginStreams();
    const std::optional<Duration> storeNow = fleet_.versionNotes().storeTime(now);
    if (isEmpty || !storeNow.has_value() || !unwritten_.isDue(takenAt_, rowPeriod(), now)) {
        return std::nullopt;
    }
    takenAt_ = now;
    unwritten_ = {};
    if (isCollector_) {
        // If another node becomes the collector, it has to get all streams.
        unreported_ = { std::nullopt, true };
    }
    containedReport_ = keepsOwn_ ? sequence_ : 0;
    coveringReport_ = sequence_ + (unreported_.isPending ? 1 : 0);
    StoredOriginRow row;
    row.writtenAt = *storeNow;
    if (keepsOwn_) {
        row.streams = own_.streamsOf(pools_);
    }
    collector_.takeStreams(row.streams);
    if (row.streams == storedStreams_) {
        noteStored();
        return std::nullopt;
    }
    storedStreams_ = row.streams;
    return row;
}

void OriginKeeper::noteStored()
{
    hasFailed_ = false;
    collector_.noteStored();
    unstored_.erase(unstored_.begin(), unstored_.upper_bound(containedReport_));
}

void OriginKeeper::noteFailed()
{
    hasFailed_ = true;
    storedStreams_.reset();
    unwritten_.noteAdded(takenAt_);
}

void OriginKeeper::noteReportStored(std::uint64_t sequence)
{
    unstored_.erase(unstored_.begin(), unstored_.upper_bound(sequence));
    if (keepsOwn_ && !isCollector_ && sequence >= std::max<std::uint64_t>(coveringReport_, 1)) {
        keepsOwn_ = false;
        unwritten_.isPending = true;
    }
}

} // namespace GeraniumLever
