/** What is known about a prompt part, or a whole request, under which upstreams have crashed. */
#pragma once

#include <cstdint>
#include <optional>

#include "servers/relay/crash_evidence.h"
#include "servers/relay/crash_reports.h"

namespace GeraniumLever {

struct CrashSuspect
{
    /** True for a request, false for a prompt part. */
    bool isRequest = false;
    std::uint32_t depth = 0;
    bool hadAnswers = false;
    CrashEvidence evidence;
    /** Number of further crashes that the store knows of. */
    std::uint32_t storedCrashes = 0;
    std::optional<TimePoint> clearedAt;
    /** When its quarantine ended because one request accounted for all crashes. */
    std::optional<TimePoint> exoneratedAt;
    std::optional<TimePoint> trialAt;
    /** Number of trials that are known of. */
    std::uint32_t trials = 0;
    /** Until then no request may be sent as a trial. */
    TimePoint blockedUntil;
    /** When something was last learnt. */
    TimePoint changedAt;
    /** When peers are to be told; absent if there is nothing to tell. */
    std::optional<TimePoint> newsAt;
    /** True once peers have been told. */
    bool shared = false;
    bool quarantined = false;
    /** True if it was quarantined here and is no longer. */
    bool released = false;
    /** How often the store's list has differed in a row. */
    std::size_t storeDifferences = 0;

    std::uint32_t crashCount() const;

    bool isAccused() const { return quarantined || crashCount() != 0; }

    /** Number of causes from which it is quarantined. */
    std::uint32_t neededCauses() const;

    /** True if one request accounts for all crashes. */
    bool isExplained() const;

    /** Least time until it is tried again. */
    Duration trialDelay() const;

    /** True if nothing has been learnt for so long that it can be forgotten. */
    bool hasExpired(TimePoint now) const;

    /** What to tell peers, with as many crashes as there is room for. */
    SuspectReport report(std::uint64_t part, std::size_t room, TimePoint now) const;
};

} // namespace GeraniumLever
