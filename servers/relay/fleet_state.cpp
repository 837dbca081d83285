#include "servers/relay/fleet_state.h"

#include <utility>

#include <xxhash.h>

#include "servers/relay/relay_records.h"

namespace GeraniumLever {

FleetState::FleetState(NodeName self, std::uint64_t incarnation, Duration upstreamHeartbeat, bool isFirstStart)
    : self_(std::move(self))
    , incarnation_(incarnation)
    , versionNotes_(isFirstStart)
    , nodes_(self_, incarnation_)
    , peers_(self_)
    , limits_(self_)
{
    directory_.setHeartbeat(upstreamHeartbeat);
}

void FleetState::noteStoreState(const StoreState &state, TimePoint now, RelayCommands &commands)
{
    if (state.clock.has_value()) {
        limits_.noteStoreClock(*state.clock, now);
    }
    if (storeEras_.note(state, now)) {
        commands.emplace_back(recordStoreEra(storeEras_, now));
    }
    versionNotes_.updateEra(storeEras_.era(), now);
}

void FleetState::applyConfiguration(const StoredConfiguration &stored,
                                    TimePoint asOf,
                                    TimePoint now,
                                    RelayCommands &commands)
{
    noteStoreState(stored.state, now, commands);
    directory_.readSucceeded(asOf);
    const ConfigurationVersion before = configuration_.version();
    if (configuration_.update(stored, storeEras_, asOf)) {
        commands.emplace_back(recordConfiguration(stored, before));
        versionNotes_.updateRoutes(*configuration_.table(), now);
    }
}

DirectoryChanges FleetState::updateUpstreams(const StoredUpstreams &stored,
                                             TimePoint asOf,
                                             TimePoint now,
                                             RelayCommands &commands)
{
    noteStoreState(stored.state, now, commands);
    DirectoryChanges changes = directory_.update(stored, storeEras_, asOf, now);
    versionNotes_.updateUpstreams(directory_.entries(), now);
    limits_.updateUpstreams(directory_.entries(), now);
    for (const UpstreamName &name : notices_.update(directory_.entries(), now)) {
        commands.emplace_back(recordCarriedNotice(name));
    }
    return changes;
}

bool FleetState::updateVersionNotes(const StoredVersionNotes &stored, TimePoint now, RelayCommands &commands)
{
    noteStoreState(stored.state, now, commands);
    if (storeEras_.isOutdated(stored.state)) {
        return false;
    }
    versionNotes_.update(stored, now);
    return true;
}

NoteKeeperRank FleetState::noteKeeperRank() const
{
    return
        [this](const PoolName &pool) { return nodes_.rank(self_, XXH64(pool.text().data(), pool.text().size(), 0)); };
}

std::optional<std::string> FleetState::onlyVersion(const PoolName &pool) const
{
    return versionNotes_.onlyVersion(pool);
}

std::set<PoolName> FleetState::ambiguousPools(TimePoint now) const
{
    return versionNotes_.ambiguousPools(now);
}

bool FleetState::noteNotice(const UpstreamIdentity &upstream, const UpstreamNotice &notice, TimePoint now)
{
    const bool newlyLeaving = notice.leaving && notices_.noteLeaving(upstream, now);
    if (notice.pause.has_value()) {
        notices_.notePause(upstream, *notice.pause, now);
    }
    if (notice.sinceLoss.has_value()) {
        notices_.noteAfterLoss(upstream, notice.leaving, notice.pause, *notice.sinceLoss, now);
    }
    return newlyLeaving || notice.pause.has_value();
}

bool FleetState::updateNodes(const StoredNodes &stored, TimePoint asOf, TimePoint now, RelayCommands &commands)
{
    noteStoreState(stored.state, now, commands);
    if (!nodes_.update(stored, storeEras_, asOf)) {
        return false;
    }
    peers_.updateNodes(nodes_.nodes());
    limits_.updateNodes(nodes_);
    return true;
}

void FleetState::receive(const PeerReport &report, TimePoint now, RelayCommands &commands)
{
    if (!peers_.receive(report, now)) {
        return;
    }
    if (storeEras_.note(report.storeEra, now)) {
        commands.emplace_back(recordStoreEra(storeEras_, now));
    }
    versionNotes_.updateEra(storeEras_.era(), now);
    configuration_.confirmLastRead(storeEras_);
    nodes_.completeLastList(storeEras_);
    if (report.sentAfter == TimePoint() || report.sentAfter > now) {
        return;
    }
    // The peer sent the report after sentAfter and knew this by then.
    configuration_.confirm(report.configuration, storeEras_, report.sentAfter - report.configurationAge);
}

PeerReport FleetState::reportFor(const NodeName &peer, TimePoint now)
{
    PeerReport report;
    report.node = self_;
    report.incarnation = incarnation_;
    report.sequence = ++lastReportSequence_;
    const std::optional<Duration> age = configuration_.age(now);
    if (age.has_value()) {
        report.configuration = configuration_.id();
        report.configurationAge = *age;
    }
    report.storeEra = storeEras_.report(now);
    report.sentAt = now;
    report.sentAfter = peers_.lastSentAt(peer);
    report.listsReceiver = peers_.isListed(peer);
    return report;
}

DirectoryChanges FleetState::expire(TimePoint now)
{
    peers_.expire(now);
    return directory_.expire(now);
}

} // namespace GeraniumLever
