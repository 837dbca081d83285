/** Keeps the origins of unfinished streams in the store. */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "servers/relay/fleet_state.h"
#include "servers/relay/origin_collector.h"
#include "servers/relay/stored_origins.h"

namespace GeraniumLever {

/**
 * Makes the origins of unfinished streams outlast all nodes, where the notes on versions do not tell them. What began
 * after the last write is lost with the nodes, so writes must be frequent, and their number must not grow with the
 * fleet: in each data centre the nodes report their streams to one of them, the collector, which writes one row for
 * all. A node whose report is not known to be stored in time writes a row of its own, less often.
 */
class OriginKeeper
{
public:
    /** fleet: must outlive the keeper. incarnation: unique per start of the node. */
    OriginKeeper(NodeName self, std::uint64_t incarnation, const FleetState &fleet)
        : self_(std::move(self)), incarnation_(incarnation), fleet_(fleet)
    {
    }

    /** Replaces the list of relays. */
    void updateNodes(const std::vector<PeerNode> &nodes, const DataCenterName &dataCenter);

    /** A stream begins, or goes on, at this node. */
    void add(const std::string &stream, const StreamOrigin &origin, Duration lifetime, TimePoint now);

    /** Its caller has received the whole stream. */
    void remove(const std::string &stream);

    /** Reports to the collector; nullptr if none is known. To be called every few tens of milliseconds. */
    void tick(const PeerNode *collector, TimePoint now, RelayCommands &commands);

    /** Handles another node's report. */
    void receive(const OriginReport &report, TimePoint now);

    /** The row of this node for the store if it must be written now. */
    std::optional<StoredOriginRow> takeRow(TimePoint now);

    /** Records that the row that was taken last has been written, or may not have been. */
    void noteStored();
    void noteFailed();

    /** Sequence of the node's newest report that is stored; 0 if there is none. */
    std::uint64_t storedSequence(const NodeName &node, std::uint64_t incarnation) const
    {
        return collector_.storedSequence(node, incarnation);
    }

    /** The collector has stored this node's report of that sequence. */
    void noteReportStored(std::uint64_t sequence);

    /** Maximum number of streams in a report, so that it fits into a datagram. */
    static constexpr std::size_t MaxReported = 128;

private:
    /** Changes that have to be passed on; those without which streams would be lost are urgent. */
    struct Change
    {
        /** When the oldest stream began that is not stored. */
        std::optional<TimePoint> addedAt;
        bool isPending = false;

        void noteAdded(TimePoint now);
        bool isDue(TimePoint last, Duration period, TimePoint now) const;
    };

    /** True if the node's own streams have not been stored by the collector in time. */
    bool isCollectorLate(TimePoint now) const;
    /** Least time between two reports. */
    Duration reportPeriod() const;
    /** Least time between two rows. */
    Duration rowPeriod() const;
    void updatePools(TimePoint now);
    void noteRemoved();
    void report(const PeerNode &collector, TimePoint now, RelayCommands &commands);

    NodeName self_;
    std::uint64_t incarnation_ = 0;
    const FleetState &fleet_;
    UnfinishedStreams own_;
    OriginCollector collector_;
    bool isCollector_ = false;
    /** The node that the last report went to. */
    NodeName reportedTo_;
    std::size_t dataCenters_ = 1;
    /** Of the own data centre. */
    std::size_t localNodes_ = 1;

    /** Pools whose streams have to be stored. */
    std::set<PoolName> pools_;
    TimePoint poolsCheckedAt_;

    /** Changes of the own streams that have not been reported. */
    Change unreported_;
    TimePoint reportedAt_;
    std::uint64_t sequence_ = 0;
    bool isLastReportEmpty_ = true;
    /** Reports that are not known to be stored, with the time at which they were sent. */
    std::map<std::uint64_t, TimePoint> unstored_;

    /** Changes that the row lacks. */
    Change unwritten_;
    TimePoint takenAt_;
    /** What this node's row in the store says; absent if that is not known. */
    std::optional<OriginStreams> storedStreams_ = OriginStreams();
    /** The store's era in which the row was written. */
    std::uint64_t era_ = 0;
    /** True while the row must contain the own streams since the collector may lack them. */
    bool keepsOwn_ = false;
    /** The last of the reports whose streams the row that was taken last contains, and the first that contains all
     *  streams of the row. */
    std::uint64_t containedReport_ = 0;
    std::uint64_t coveringReport_ = 0;
    bool hasFailed_ = false;
};

} // namespace GeraniumLever
