/** Finds out which version began a stream that its caller takes up again. */
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "servers/relay/fleet_state.h"
#include "servers/relay/origin_keeper.h"
#include "servers/relay/relay_row.h"
#include "servers/relay/stream_origins.h"

namespace GeraniumLever {

/** Steps of a search, in their order. */
enum class SearchStep : std::uint8_t {
    OwnMemory,
    AskingNodes,
    ReadingNotes,
    ReadingStoredOrigins,
};

/** A request whose search has ended. */
struct LocatedStream
{
    RequestId request;
    /** Absent if more than one version may have begun the stream. */
    std::optional<StreamOrigin> origin;
    /** The step that found the origin, or at which the search was given up. */
    SearchStep lastStep = SearchStep::OwnMemory;
    /** Nodes that were asked and did not answer in time. */
    std::size_t silentNodes = 0;
    Duration duration { 0 };

    auto operator<=>(const LocatedStream &) const = default;
};

/** Searches in four steps. What this node remembers. What the few other nodes remember that may know, as far as they
 *  answer in time. The notes in the store: they are read after the caller came back, so they name every version at
 *  which the stream can have begun, and tell its origin if there is only one. The unfinished streams of each node,
 *  which the store keeps where the notes do not tell; those that began just before their node was lost are missing. */
class StreamLocator
{
public:
    /** fleet: must outlive the locator. */
    StreamLocator(const NodeName &self,
                  const DataCenterName &dataCenter,
                  std::uint64_t incarnation,
                  const FleetState &fleet)
        : fleet_(fleet), dataCenter_(dataCenter), origins_(self, dataCenter), keeper_(self, incarnation, fleet)
    {
    }

    void updateNodes(const std::vector<PeerNode> &nodes);

    /** Makes the origin of a stream that now begins, or goes on, known to other nodes. */
    void shareOrigin(const RelayRow &row, TimePoint now, RelayCommands &commands);

    /** Starts to search for the origin of the stream that the request takes up. */
    void startSearch(const RelayRow &row, TimePoint now, RelayCommands &commands);

    void receive(const StreamRecord &record, TimePoint now) { origins_.receive(record, now); }
    StreamReply answer(const StreamQuery &query, TimePoint now) const { return origins_.answer(query, now); }
    void receive(const StreamReply &reply, TimePoint now, RelayCommands &commands);

    /** Records that the caller has received the whole stream. */
    void streamCompleted(const RelayRow &row) { keeper_.remove(row.stream()); }

    /** Records that the fleet's notes on versions were read, by a read that was sent at asOf. */
    void notesRead(TimePoint asOf, TimePoint now, RelayCommands &commands);

    /** Handles what the store keeps of all nodes' streams, which was read by a call that was sent at asOf. */
    void storedOriginsRead(const StoredOrigins &stored, TimePoint asOf, TimePoint now);

    /** What keeps the origins of unfinished streams in the store. */
    OriginKeeper &keeper() { return keeper_; }
    const OriginKeeper &keeper() const { return keeper_; }

    /** collector: the node that stores the origins of this data centre; nullptr if none is known. To be called every
     * few tens of milliseconds. */
    void tick(const PeerNode *collector, TimePoint now, RelayCommands &commands);

    /** Returns, and forgets, the requests whose search has ended. */
    std::vector<LocatedStream> takeLocated() { return std::exchange(located_, {}); }

private:
    struct Search
    {
        /** Empty if the caller does not name the stream. */
        std::string stream;
        /** Absent if the route has several. */
        std::optional<PoolName> pool;
        TimePoint startedAt;
        SearchStep step = SearchStep::AskingNodes;
        /** When the step began. */
        TimePoint since;
        std::size_t silentNodes = 0;
    };

    static void readNotes(Search &search, TimePoint now, RelayCommands &commands);
    /** Ends all searches that satisfy the condition. */
    template<typename Condition, typename Origin>
    void end(TimePoint now, Condition condition, Origin origin);

    const FleetState &fleet_;
    DataCenterName dataCenter_;
    StreamOrigins origins_;
    OriginKeeper keeper_;
    std::map<RequestId, Search> searches_;
    std::vector<LocatedStream> located_;
};

} // namespace GeraniumLever
