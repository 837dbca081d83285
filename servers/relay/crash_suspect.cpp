#include "servers/relay/crash_suspect.h"

#include <algorithm>
#include <iterator>

namespace GeraniumLever {

namespace {

/** Number of separate crashes from which a part is quarantined. A sound part would have to be at this many crashing
 *  upstreams in a row without being answered anywhere in between. */
constexpr std::uint32_t MinCauses = 3;
/** The same for a part that had been answered before, which an upstream's new software may have come to crash under. */
constexpr std::uint32_t MinCausesAfterAnswers = 6;
/** Number of quarantined requests that have only the part in common. */
constexpr std::uint32_t MinCulprits = 2;
/** With at most this many crashes the first trial comes early, since the judgement may be a mistake. */
constexpr std::uint32_t EarlyCrashes = 4;
constexpr Duration EarlyTrialDelay = std::chrono::seconds(10);
constexpr Duration TrialDelay = std::chrono::seconds(60);
constexpr Duration MaxTrialDelay = std::chrono::hours(1);
constexpr std::uint32_t MaxDoublings = 6;
/** Time after which a suspect that is not quarantined is forgotten. */
constexpr Duration SuspicionLifetime = std::chrono::minutes(10);
/** How long it is remembered that a part was cleared, so that older reports do not accuse it again. */
constexpr Duration ClearedLifetime = std::chrono::minutes(1);
/** Delays of the first trials of a request. The first may find it sound. */
constexpr Duration RequestTrialDelays[] = {
    std::chrono::seconds(1),
    std::chrono::seconds(10),
    std::chrono::minutes(5),
    std::chrono::hours(1),
};

} // namespace

std::uint32_t CrashSuspect::crashCount() const
{
    return storedCrashes + static_cast<std::uint32_t>(evidence.size());
}

std::uint32_t CrashSuspect::neededCauses() const
{
    // A part that is in most requests is in those of many crashes, too, but hardly in several that crash upstreams with
    // no answer in between.
    if (evidence.culprits() >= MinCulprits) {
        return hadAnswers ? MinCauses : MinCulprits;
    }
    return hadAnswers ? MinCausesAfterAnswers : MinCauses;
}

bool CrashSuspect::isExplained() const
{
    return storedCrashes == 0 && !evidence.hasUnattributed() && evidence.culprits() < MinCulprits;
}

Duration CrashSuspect::trialDelay() const
{
    if (isRequest) {
        return RequestTrialDelays[std::min<std::size_t>(trials, std::size(RequestTrialDelays) - 1)];
    }
    const std::uint32_t crashes = crashCount();
    if (crashes <= EarlyCrashes) {
        return EarlyTrialDelay;
    }
    return std::min(MaxTrialDelay,
                    TrialDelay * (1 << std::min<std::uint32_t>(crashes - EarlyCrashes - 1, MaxDoublings)));
}

bool CrashSuspect::hasExpired(TimePoint now) const
{
    return !quarantined && now - changedAt > (isAccused() ? SuspicionLifetime : ClearedLifetime);
}

SuspectReport CrashSuspect::report(std::uint64_t part, std::size_t room, TimePoint now) const
{
    SuspectReport report;
    report.part = part;
    report.depth = depth;
    report.hadAnswers = hadAnswers;
    for (const std::uint64_t upstream : evidence.mostTelling(room)) {
        const UpstreamCrash &crash = evidence.crashes().at(upstream);
        report.crashes.push_back({ upstream, now - crash.at, now - crash.sentAt, crash.culprit });
    }
    if (clearedAt.has_value()) {
        report.clearedAge = now - *clearedAt;
    }
    if (trialAt.has_value()) {
        report.trialAge = now - *trialAt;
    }
    return report;
}

} // namespace GeraniumLever
