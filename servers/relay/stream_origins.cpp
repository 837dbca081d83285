#include "servers/relay/stream_origins.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** Nodes of the own data centre that keep copies. */
constexpr std::size_t LocalCopies = 2;
/** Nodes of the own data centre that are asked. One more than keep copies, because the node that began the stream may
 *  rank among them. */
constexpr std::size_t LocalQueries = LocalCopies + 1;
/** Datagrams can be lost, so an unanswered query is sent twice. */
constexpr Duration QueryRepeatDelay = std::chrono::milliseconds(50);
/** Bounds the memory that other nodes can make this one use. */
constexpr std::size_t MaxEntries = 50000;
constexpr Duration MaxLifetime = std::chrono::minutes(10);

} // namespace

std::vector<OutgoingStreamMessage> StreamOrigins::record(const std::string &stream,
                                                         const StreamOrigin &origin,
                                                         Duration lifetime,
                                                         TimePoint now)
{
    put(stream, origin, now + std::min(lifetime, MaxLifetime));
    std::vector<OutgoingStreamMessage> messages;
    for (const PeerNode &holder : copyHolders(stream)) {
        messages.push_back({ holder.address, StreamRecord { self_, stream, origin, lifetime } });
    }
    return messages;
}

std::optional<StreamOrigin> StreamOrigins::find(const std::string &stream, TimePoint now) const
{
    const auto found = entries_.find(stream);
    if (found == entries_.end() || now >= found->second.expiresAt) {
        return std::nullopt;
    }
    return found->second.origin;
}

std::vector<OutgoingStreamMessage> StreamOrigins::startLookup(const std::string &stream, TimePoint now)
{
    Lookup lookup;
    lookup.startedAt = now;
    for (const PeerNode &node : likelyHolders(stream)) {
        lookup.unanswered.emplace(node.node, node.address);
    }
    std::vector<OutgoingStreamMessage> messages = queries(stream, lookup);
    if (!messages.empty()) {
        lookups_[stream] = std::move(lookup);
    }
    return messages;
}

std::vector<OutgoingStreamMessage> StreamOrigins::repeatQueries(TimePoint now)
{
    std::vector<OutgoingStreamMessage> messages;
    for (auto &[stream, lookup] : lookups_) {
        if (lookup.repeated || now - lookup.startedAt < QueryRepeatDelay) {
            continue;
        }
        lookup.repeated = true;
        const std::vector<OutgoingStreamMessage> again = queries(stream, lookup);
        messages.insert(messages.end(), again.begin(), again.end());
    }
    return messages;
}

std::size_t StreamOrigins::silentNodes(const std::string &stream) const
{
    const auto lookup = lookups_.find(stream);
    return lookup == lookups_.end() ? 0 : lookup->second.unanswered.size();
}

void StreamOrigins::receive(const StreamRecord &record, TimePoint now)
{
    put(record.stream, record.origin, now + std::min(record.lifetime, MaxLifetime));
}

StreamReply StreamOrigins::answer(const StreamQuery &query, TimePoint now) const
{
    return { self_, query.stream, find(query.stream, now) };
}

bool StreamOrigins::receive(const StreamReply &reply)
{
    const auto lookup = lookups_.find(reply.stream);
    if (lookup == lookups_.end()) {
        return false;
    }
    lookup->second.unanswered.erase(reply.node);
    if (!reply.origin.has_value() && !lookup->second.unanswered.empty()) {
        return false;
    }
    lookups_.erase(lookup);
    return true;
}

void StreamOrigins::expire(TimePoint now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto entry = entries_.find(expiries_.begin()->second);
        if (entry != entries_.end() && entry->second.expiresAt <= now) {
            entries_.erase(entry);
        }
        expiries_.erase(expiries_.begin());
    }
    std::erase_if(lookups_, [now](const auto &item) { return now - item.second.startedAt >= StreamLookupTimeout; });
}

void StreamOrigins::put(const std::string &stream, const StreamOrigin &origin, TimePoint expiresAt)
{
    const auto found = entries_.find(stream);
    if (found == entries_.end() && entries_.size() >= MaxEntries) {
        return;
    }
    entries_[stream] = { origin, expiresAt };
    expiries_.emplace(expiresAt, stream);
}

std::vector<const PeerNode *> StreamOrigins::ranked(const std::string &stream) const
{
    const std::uint64_t seed = XXH64(stream.data(), stream.size(), 0);
    std::vector<std::pair<std::uint64_t, const PeerNode *>> ranks;
    ranks.reserve(nodes_.size());
    for (const PeerNode &node : nodes_) {
        if (node.node != self_) {
            ranks.emplace_back(XXH64(node.node.text().data(), node.node.text().size(), seed), &node);
        }
    }
    std::sort(ranks.begin(), ranks.end(), [](const auto &left, const auto &right) { return left.first > right.first; });
    std::vector<const PeerNode *> nodes;
    nodes.reserve(ranks.size());
    for (const auto &[rank, node] : ranks) {
        nodes.push_back(node);
    }
    return nodes;
}

std::vector<PeerNode> StreamOrigins::copyHolders(const std::string &stream) const
{
    std::vector<PeerNode> holders;
    std::size_t local = 0;
    bool hasRemote = false;
    for (const PeerNode *node : ranked(stream)) {
        const bool isLocal = node->dataCenter == dataCenter_;
        if (isLocal ? local++ < LocalCopies : !std::exchange(hasRemote, true)) {
            holders.push_back(*node);
        }
    }
    return holders;
}

std::vector<PeerNode> StreamOrigins::likelyHolders(const std::string &stream) const
{
    // The remote copy is at the first node of the order outside the data centre where the stream began: the first node
    // of all, or the first one of another data centre than that node's.
    std::vector<PeerNode> holders;
    std::size_t local = 0;
    std::set<DataCenterName> firstOf;
    for (const PeerNode *node : ranked(stream)) {
        const bool maybeRemoteCopy = firstOf.size() < 2 && firstOf.insert(node->dataCenter).second;
        const bool maybeLocalCopy = node->dataCenter == dataCenter_ && local++ < LocalQueries;
        if (maybeRemoteCopy || maybeLocalCopy) {
            holders.push_back(*node);
        }
    }
    return holders;
}

std::vector<OutgoingStreamMessage> StreamOrigins::queries(const std::string &stream, const Lookup &lookup) const
{
    std::vector<OutgoingStreamMessage> messages;
    for (const auto &[node, address] : lookup.unanswered) {
        messages.push_back({ address, StreamQuery { self_, stream } });
    }
    return messages;
}

} // namespace GeraniumLever
