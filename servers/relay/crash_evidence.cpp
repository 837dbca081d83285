#include "servers/relay/crash_evidence.h"

#include <algorithm>
#include <set>

namespace GeraniumLever {

namespace {

/** Crashes within this time may have one cause outside the upstreams, such as a failing link. */
constexpr Duration EpisodeLength = std::chrono::milliseconds(250);

} // namespace

bool CrashEvidence::add(std::uint64_t upstream, const UpstreamCrash &crash)
{
    return crashes_.size() < MaxCrashes && crashes_.try_emplace(upstream, crash).second;
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

std::uint32_t CrashEvidence::episodes() const
{
    std::vector<TimePoint> times;
    for (const auto &[upstream, crash] : crashes_) {
        if (crash.culprit == 0) {
            times.push_back(crash.at);
        }
    }
    std::sort(times.begin(), times.end());
    std::uint32_t count = 0;
    TimePoint last;
    for (const TimePoint at : times) {
        if (count == 0 || at > last + EpisodeLength) {
            ++count;
            last = at;
        }
    }
    return count;
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
