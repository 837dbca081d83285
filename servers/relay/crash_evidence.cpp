#include "servers/relay/crash_evidence.h"

#include <algorithm>
#include <set>

namespace GeraniumLever {

bool CrashEvidence::containsAll(const CrashEvidence &other) const
{
    return std::all_of(
        other.crashes_.begin(), other.crashes_.end(), [this](const auto &entry) { return contains(entry.first); });
}

bool CrashEvidence::add(std::uint64_t upstream, const UpstreamCrash &crash)
{
    if (!crashes_.try_emplace(upstream, crash).second) {
        return false;
    }
    if (crashes_.size() <= MaxCrashes) {
        return true;
    }
    const std::vector<Group> all = groups();
    const Group &largest = *std::max_element(
        all.begin(), all.end(), [](const Group &left, const Group &right) { return left.size() < right.size(); });
    // All nodes must drop the same crash, or they would go on telling each other of it.
    const std::uint64_t dropped = *std::max_element(largest.begin(), largest.end());
    crashes_.erase(dropped);
    return dropped != upstream;
}

void CrashEvidence::eraseUntil(TimePoint time)
{
    std::erase_if(crashes_, [time](const auto &entry) { return entry.second.at <= time; });
}

void CrashEvidence::erase(const CrashEvidence &other)
{
    std::erase_if(crashes_, [&other](const auto &entry) { return other.contains(entry.first); });
}

void CrashEvidence::attribute(std::uint64_t upstream, std::uint64_t fingerprint)
{
    const auto crash = crashes_.find(upstream);
    if (crash != crashes_.end() && crash->second.culprit == 0) {
        crash->second.culprit = fingerprint;
    }
}

void CrashEvidence::attribute(const CrashEvidence &request, std::uint64_t fingerprint)
{
    for (const auto &[upstream, crash] : request.crashes_) {
        attribute(upstream, fingerprint);
    }
}

std::vector<CrashEvidence::Group> CrashEvidence::moments() const
{
    std::vector<std::pair<TimePoint, std::uint64_t>> order;
    for (const auto &[upstream, crash] : crashes_) {
        if (crash.culprit == 0) {
            order.emplace_back(crash.at, upstream);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<Group> moments;
    TimePoint start;
    for (const auto &[at, upstream] : order) {
        if (moments.empty() || at > start + EpisodeLength) {
            moments.emplace_back();
            start = at;
        }
        moments.back().push_back(upstream);
    }
    return moments;
}

std::vector<CrashEvidence::Group> CrashEvidence::groups() const
{
    std::map<std::uint64_t, Group> byCulprit;
    for (const auto &[upstream, crash] : crashes_) {
        if (crash.culprit != 0) {
            byCulprit[crash.culprit].push_back(upstream);
        }
    }
    std::vector<Group> groups = moments();
    for (auto &[culprit, group] : byCulprit) {
        groups.push_back(std::move(group));
    }
    return groups;
}

std::uint32_t CrashEvidence::episodes() const
{
    return static_cast<std::uint32_t>(moments().size());
}

std::uint32_t CrashEvidence::separateCrashes(const CrashLog &log) const
{
    std::uint32_t count = 0;
    for (const Group &moment : moments()) {
        const std::ptrdiff_t confirmed = std::count_if(
            moment.begin(), moment.end(), [&log](std::uint64_t upstream) { return log.isConfirmed(upstream); });
        count += confirmed > 1 && isAlone(moment, log) ? static_cast<std::uint32_t>(confirmed) : 1;
    }
    return count;
}

bool CrashEvidence::isAlone(const Group &moment, const CrashLog &log) const
{
    bool isAlone = true;
    for (const std::uint64_t upstream : moment) {
        log.forEachAt(crashes_.at(upstream).at,
                      [&](std::uint64_t other) { isAlone = isAlone && crashes_.count(other) != 0; });
    }
    return isAlone;
}

std::vector<std::uint64_t> CrashEvidence::mostTelling(std::size_t count) const
{
    std::vector<std::uint64_t> chosen;
    const std::vector<Group> all = groups();
    for (std::size_t position = 0; chosen.size() < std::min(count, crashes_.size()); ++position) {
        for (auto group = all.rbegin(); group != all.rend() && chosen.size() < count; ++group) {
            if (position < group->size()) {
                chosen.push_back((*group)[position]);
            }
        }
    }
    return chosen;
}

std::uint32_t CrashEvidence::successiveCrashes() const
{
    std::vector<std::pair<TimePoint, TimePoint>> times;
    for (const auto &[upstream, crash] : crashes_) {
        times.emplace_back(crash.at, crash.sentAt);
    }
    std::sort(times.begin(), times.end());
    std::uint32_t count = 0;
    TimePoint last;
    for (const auto &[at, sentAt] : times) {
        if (count == 0 || sentAt >= last) {
            ++count;
            last = at;
        }
    }
    return count;
}

std::uint32_t CrashEvidence::culprits() const
{
    std::set<std::uint64_t> culprits;
    for (const auto &[upstream, crash] : crashes_) {
        if (crash.culprit != 0) {
            culprits.insert(crash.culprit);
        }
    }
    return static_cast<std::uint32_t>(culprits.size());
}

bool CrashEvidence::hasUnattributed() const
{
    return std::any_of(crashes_.begin(), crashes_.end(), [](const auto &entry) { return entry.second.culprit == 0; });
}

} // namespace GeraniumLever
