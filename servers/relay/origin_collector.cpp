#include "servers/relay/origin_collector.h"

#include <algorithm>

namespace GeraniumLever {

namespace {

/** The sender must learn that its report was stored. */
constexpr Duration MinLifetime = std::chrono::seconds(2);
constexpr Duration MaxLifetime = std::chrono::minutes(10);

/** True if all streams of the first are among those of the second. */
bool isSubset(const OriginStreams &streams, const OriginStreams &others)
{
    return std::all_of(streams.begin(), streams.end(), [&others](const auto &item) {
        const auto same = others.find(item.first);
        return same != others.end()
            && std::all_of(item.second.begin(), item.second.end(), [&known = same->second](std::uint64_t hash) {
                   return std::find(known.begin(), known.end(), hash) != known.end();
               });
    });
}

} // namespace

std::size_t countStreams(const OriginStreams &streams)
{
    std::size_t count = 0;
    for (const auto &[origin, hashes] : streams) {
        count += hashes.size();
    }
    return count;
}

OriginCollector::Received OriginCollector::receive(const OriginReport &report, TimePoint now)
{
    const Sender sender(report.node, report.incarnation);
    const auto known = reports_.find(sender);
    const bool isOld = known != reports_.end() && report.sequence <= known->second.sequence;
    if (isOld || streamsExcept(sender) + countStreams(report.streams) > MaxStreams) {
        return Received::Ignored;
    }
    Reported &reported = reports_[sender];
    const bool isShorter = isSubset(report.streams, reported.streams);
    reported.sequence = report.sequence;
    reported.expiresAt = now + std::clamp(report.lifetime, MinLifetime, MaxLifetime);
    reported.streams = report.streams;
    return isShorter ? Received::Shorter : Received::NewStreams;
}

void OriginCollector::takeStreams(OriginStreams &streams)
{
    for (auto &[sender, reported] : reports_) {
        reported.takenSequence = reported.sequence;
        for (const auto &[origin, hashes] : reported.streams) {
            std::vector<std::uint64_t> &all = streams[origin];
            all.insert(all.end(), hashes.begin(), hashes.end());
        }
    }
}

void OriginCollector::noteStored()
{
    for (auto &[sender, reported] : reports_) {
        reported.storedSequence = reported.takenSequence;
    }
}

std::uint64_t OriginCollector::storedSequence(const NodeName &node, std::uint64_t incarnation) const
{
    const auto found = reports_.find({ node, incarnation });
    return found == reports_.end() ? 0 : found->second.storedSequence;
}

bool OriginCollector::expire(TimePoint now)
{
    return std::erase_if(reports_, [now](const auto &entry) { return now >= entry.second.expiresAt; }) > 0;
}

std::size_t OriginCollector::streamsExcept(const Sender &sender) const
{
    std::size_t count = 0;
    for (const auto &[other, reported] : reports_) {
        count += other == sender ? 0 : countStreams(reported.streams);
    }
    return count;
}

} // namespace GeraniumLever
