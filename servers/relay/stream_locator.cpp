#include "servers/relay/stream_locator.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace GeraniumLever {

namespace {

/** How long an answer of the store is awaited. */
constexpr Duration StoreTimeout = std::chrono::milliseconds(300);
/** How long an origin that was found in the store is remembered. */
constexpr Duration MaxStoredOriginAge = std::chrono::seconds(20);

constexpr auto Unknown = [](const auto &) { return std::optional<StreamOrigin>(); };

} // namespace

void StreamLocator::updateNodes(const std::vector<PeerNode> &nodes)
{
    origins_.updateNodes(nodes);
    keeper_.updateNodes(nodes, dataCenter_);
}

void StreamLocator::shareOrigin(const RelayRow &row, TimePoint now, RelayCommands &commands)
{
    std::vector<OutgoingStreamMessage> copies =
        origins_.record(row.stream(), { row.pool, *row.streamVersion }, row.streamLifetime(), now);
    std::move(copies.begin(), copies.end(), std::back_inserter(commands));
    keeper_.add(row.stream(), { row.pool, *row.streamVersion }, row.streamLifetime(), now);
}

void StreamLocator::startSearch(const RelayRow &row, TimePoint now, RelayCommands &commands)
{
    const std::string &stream = row.request.resumedRequest;
    const std::optional<StreamOrigin> known = stream.empty() ? std::nullopt : origins_.find(stream, now);
    if (known.has_value()) {
        located_.push_back({ row.request.request, known, SearchStep::OwnMemory });
        return;
    }
    const std::vector<PoolShare> &pools = row.route->pools;
    Search &search = searches_[row.request.request];
    search.stream = stream;
    search.pool = pools.size() == 1 ? std::optional(pools.front().pool) : std::nullopt;
    search.startedAt = now;
    search.since = now;
    std::vector<OutgoingStreamMessage> queries;
    if (!stream.empty()) {
        queries = origins_.startLookup(stream, now);
    }
    if (queries.empty()) {
        readNotes(search, now, commands);
        return;
    }
    std::move(queries.begin(), queries.end(), std::back_inserter(commands));
}

void StreamLocator::readNotes(Search &search, TimePoint now, RelayCommands &commands)
{
    search.step = SearchStep::ReadingNotes;
    search.since = now;
    commands.emplace_back(ReadVersionNotes {});
}

template<typename Condition, typename Origin>
void StreamLocator::end(TimePoint now, Condition condition, Origin origin)
{
    std::erase_if(searches_, [&](const auto &item) {
        const auto &[request, search] = item;
        if (!condition(search)) {
            return false;
        }
        located_.push_back({ request, origin(search), search.step, search.silentNodes, now - search.startedAt });
        return true;
    });
}

void StreamLocator::receive(const StreamReply &reply, TimePoint now, RelayCommands &commands)
{
    if (!origins_.receive(reply)) {
        return;
    }
    const auto isMeant = [&reply](const Search &search) {
        return search.stream == reply.stream && search.step == SearchStep::AskingNodes;
    };
    if (reply.origin.has_value()) {
        end(now, isMeant, [&reply](const Search &) { return reply.origin; });
        return;
    }
    for (auto &[request, search] : searches_) {
        if (isMeant(search)) {
            readNotes(search, now, commands);
        }
    }
}

void StreamLocator::notesRead(TimePoint asOf, TimePoint now, RelayCommands &commands)
{
    const auto isAnswered = [asOf](const Search &search) {
        return search.step == SearchStep::ReadingNotes && search.since <= asOf;
    };
    const auto versionOf = [this](const Search &search) {
        return search.pool.has_value() ? fleet_.onlyVersion(*search.pool) : std::nullopt;
    };
    end(
        now,
        [&](const Search &search) { return isAnswered(search) && versionOf(search).has_value(); },
        [&](const Search &search) {
            return std::optional(StreamOrigin { *search.pool, *versionOf(search) });
        });
    end(
        now, [&](const Search &search) { return isAnswered(search) && search.stream.empty(); }, Unknown);
    for (auto &[request, search] : searches_) {
        if (isAnswered(search)) {
            search.step = SearchStep::ReadingStoredOrigins;
            search.since = now;
            commands.emplace_back(ReadStoredOrigins {});
        }
    }
}

void StreamLocator::storedOriginsRead(const StoredOrigins &stored, TimePoint asOf, TimePoint now)
{
    end(
        now,
        [asOf](const Search &search) {
            return search.step == SearchStep::ReadingStoredOrigins && search.since <= asOf;
        },
        [&](const Search &search) {
            const std::optional<StreamOrigin> origin = stored.find(search.stream);
            if (origin.has_value()) {
                origins_.receive({ {}, search.stream, *origin, MaxStoredOriginAge }, now);
            }
            return origin;
        });
}

void StreamLocator::tick(const PeerNode *collector, TimePoint now, RelayCommands &commands)
{
    keeper_.tick(collector, now, commands);
    for (auto &[request, search] : searches_) {
        if (search.step == SearchStep::AskingNodes && now - search.since >= StreamLookupTimeout) {
            // The nodes that remember the stream may be gone for good, and the store's proof does not need them.
            search.silentNodes = origins_.silentNodes(search.stream);
            readNotes(search, now, commands);
        }
    }
    end(
        now,
        [now](const Search &search) {
            return search.step != SearchStep::AskingNodes && now - search.since >= StoreTimeout;
        },
        Unknown);
    std::vector<OutgoingStreamMessage> queries = origins_.repeatQueries(now);
    std::move(queries.begin(), queries.end(), std::back_inserter(commands));
    origins_.expire(now);
}

} // namespace GeraniumLever
