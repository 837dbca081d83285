/** What a node knows about the store, the configuration, the upstreams and the other nodes. */
#pragma once

#include "servers/relay/node_registry.h"
#include "servers/relay/relay_messages.h"
#include "servers/relay/upstream_limits.h"

namespace GeraniumLever {

/** Combines what is read from the store with what other nodes report and upstreams state. Commands that it adds are
 *  decision records. Times: asOf is when the read was sent, now is when its answer arrived. */
class FleetState
{
public:
    /** incarnation: unique per start of the node. upstreamHeartbeat: interval at which upstreams renew their entries; 0
     *  if not known. isFirstStart: no node has run before this one and those that start together with it. */
    FleetState(NodeName self, std::uint64_t incarnation, Duration upstreamHeartbeat, bool isFirstStart);

    void applyConfiguration(const StoredConfiguration &stored, TimePoint asOf, TimePoint now, RelayCommands &commands);
    DirectoryChanges updateUpstreams(const StoredUpstreams &stored,
                                     TimePoint asOf,
                                     TimePoint now,
                                     RelayCommands &commands);
    /** Returns false if the list is ignored. */
    bool updateNodes(const StoredNodes &stored, TimePoint asOf, TimePoint now, RelayCommands &commands);

    void registryReadFailed() { directory_.readFailed(); }

    /** Applies the notes on versions; returns false if they are of an earlier era. */
    bool updateVersionNotes(const StoredVersionNotes &stored, TimePoint now, RelayCommands &commands);

    /** True if the notes on versions should be read now. */
    bool needsVersionNotes(TimePoint now) const { return versionNotes_.needsRead(noteKeeperRank(), now); }

    /** Notes that this node should write now. */
    std::vector<VersionNoteUpdate> versionNoteUpdates(TimePoint now) const
    {
        return versionNotes_.updates(noteKeeperRank(), now);
    }

    /** The version at which all streams of the pool must have begun, by the last read notes; absent if there may be
     *  others. */
    std::optional<std::string> onlyVersion(const PoolName &pool) const;

    /** Pools of which the notes do not tell at which version a stream began. */
    std::set<PoolName> ambiguousPools(TimePoint now) const;

    /** Handles the report of another node. */
    void receive(const PeerReport &report, TimePoint now, RelayCommands &commands);

    /** The report to send to another node. */
    PeerReport reportFor(const NodeName &peer, TimePoint now);

    /** Records that the store confirmed this node's entry. */
    void noteRegistered(const StoreState &state, TimePoint now) { nodes_.noteRegistered(state, now); }

    /** What an upstream states about itself. Returns false if this is known. */
    bool noteNotice(const UpstreamIdentity &upstream, const UpstreamNotice &notice, TimePoint now);

    /** Drops what has expired. To be called every few tens of milliseconds. */
    DirectoryChanges expire(TimePoint now);

    /** True if this node's entry must be written to the store. */
    bool needsRegistration() const { return nodes_.needsRegistration(storeEras_); }

    /** True if the list of nodes should be read again now. */
    bool needsNodes(TimePoint now) const { return nodes_.needsList(storeEras_, now); }

    /** True if the node can accept requests: it has a configuration and a list of upstreams. */
    bool isReady() const { return configuration_.table() != nullptr && directory_.hasList(); }

    const StoreEras &storeEras() const { return storeEras_; }
    const ConfigurationTracker &configuration() const { return configuration_; }
    const UpstreamDirectory &directory() const { return directory_; }
    const UpstreamNotices &notices() const { return notices_; }
    const VersionNotes &versionNotes() const { return versionNotes_; }
    const NodeRegistry &nodes() const { return nodes_; }
    const PeerView &peers() const { return peers_; }
    const UpstreamLimits &limits() const { return limits_; }
    UpstreamLimits &limits() { return limits_; }

private:
    void noteStoreState(const StoreState &state, TimePoint now, RelayCommands &commands);
    NoteKeeperRank noteKeeperRank() const;

    NodeName self_;
    std::uint64_t incarnation_ = 0;
    StoreEras storeEras_;
    ConfigurationTracker configuration_;
    UpstreamDirectory directory_;
    UpstreamNotices notices_;
    VersionNotes versionNotes_;
    NodeRegistry nodes_;
    PeerView peers_;
    UpstreamLimits limits_;
    std::uint64_t lastReportSequence_ = 0;
};

} // namespace GeraniumLever
