/** Knowledge of where streams began, shared by all relays. */
#pragma once

#include <map>
#include <set>
#include <vector>

#include "servers/relay/peer_view.h"
#include "servers/relay/stream_messages.h"

namespace GeraniumLever {

/** How long the answers of other nodes are awaited. */
constexpr Duration StreamLookupTimeout = std::chrono::milliseconds(150);

/** Remembers the origins of this node's streams, and copies of others'. Rendezvous hashing of the stream's identifier
 *  selects the few nodes that keep copies, so that any node finds them, even after the node that began the stream is
 *  gone, and a node's message count does not grow with the fleet. Copies are kept in the node's own data centre, to
 *  which callers usually come back, and in one other, in case all of the first one's nodes are lost. */
class StreamOrigins
{
public:
    StreamOrigins(NodeName self, DataCenterName dataCenter) : self_(std::move(self)), dataCenter_(std::move(dataCenter))
    {
    }

    /** Replaces the list of relays. */
    void updateNodes(const std::vector<PeerNode> &nodes) { nodes_ = nodes; }

    /** Remembers where a stream began; returns the messages that make other nodes remember it. */
    std::vector<OutgoingStreamMessage> record(const std::string &stream,
                                              const StreamOrigin &origin,
                                              Duration lifetime,
                                              TimePoint now);

    /** The origin if this node knows it. */
    std::optional<StreamOrigin> find(const std::string &stream, TimePoint now) const;

    /** Starts to ask other nodes; returns the queries. If there are none, no other node can be asked. */
    std::vector<OutgoingStreamMessage> startLookup(const std::string &stream, TimePoint now);

    /** Queries to send again because they have not been answered; to be called every few tens of milliseconds. */
    std::vector<OutgoingStreamMessage> repeatQueries(TimePoint now);

    /** Number of nodes that have not answered the lookup that is under way. */
    std::size_t silentNodes(const std::string &stream) const;

    void receive(const StreamRecord &record, TimePoint now);
    StreamReply answer(const StreamQuery &query, TimePoint now) const;

    /** Returns true if the reply ends its lookup: the origin is known, or no other node that was asked knows it. */
    bool receive(const StreamReply &reply);

    /** Forgets streams that can no longer be taken up, and lookups that have timed out. */
    void expire(TimePoint now);

    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        StreamOrigin origin;
        TimePoint expiresAt;
    };
    struct Lookup
    {
        TimePoint startedAt;
        bool repeated = false;
        /** Nodes that have not answered, with their addresses. */
        std::map<NodeName, std::string> unanswered;
    };

    void put(const std::string &stream, const StreamOrigin &origin, TimePoint expiresAt);
    /** All other nodes, in the order in which they are chosen for the stream. */
    std::vector<const PeerNode *> ranked(const std::string &stream) const;
    /** The nodes that keep copies of what this node records. */
    std::vector<PeerNode> copyHolders(const std::string &stream) const;
    /** The nodes that may have a copy, wherever the stream began. */
    std::vector<PeerNode> likelyHolders(const std::string &stream) const;
    std::vector<OutgoingStreamMessage> queries(const std::string &stream, const Lookup &lookup) const;

    NodeName self_;
    DataCenterName dataCenter_;
    std::vector<PeerNode> nodes_;
    std::map<std::string, Entry> entries_;
    std::multimap<TimePoint, std::string> expiries_;
    std::map<std::string, Lookup> lookups_;
};

} // namespace GeraniumLever
