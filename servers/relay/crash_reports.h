/** Messages in which relays tell each other under which prompt parts and requests upstreams crash. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** One crash of an upstream while it had a request with the suspected part. */
struct SuspectedCrash
{
    /** Hash that distinguishes the upstream's incarnations. */
    std::uint64_t upstream = 0;
    Duration age { 0 };
    /** Time since the request was sent there. */
    Duration sentAge { 0 };
    /** The quarantined request that accounts for the crash; 0 if none is known. */
    std::uint64_t culprit = 0;

    auto operator<=>(const SuspectedCrash &) const = default;
};

/** What a relay knows about one suspect: a prompt part, or a whole request by its fingerprint. */
struct SuspectReport
{
    std::uint64_t part = 0;
    /** Highest position of the part in any prompt that was lost in a crash. */
    std::uint32_t depth = 0;
    /** True if a request with the part is known to have been answered before the crashes. */
    bool hadAnswers = false;
    /** Since the part was last cleared. */
    std::vector<SuspectedCrash> crashes;
    /** Time since an answer cleared the part; absent if none has. */
    std::optional<Duration> clearedAge;
    /** Time since a relay last sent a request as a trial of the part; absent if none has. */
    std::optional<Duration> trialAge;

    auto operator<=>(const SuspectReport &) const = default;
};

/** Sent to peers when a relay learns something new, and once a second while something is quarantined or was cleared. */
struct CrashReport
{
    NodeName node;
    std::vector<SuspectReport> suspects;

    auto operator<=>(const CrashReport &) const = default;
};

/** Sends a crash report to another relay. */
struct OutgoingCrashReport
{
    /** "a.b.c.d:port". */
    std::string address;
    CrashReport report;

    auto operator<=>(const OutgoingCrashReport &) const = default;
};

} // namespace GeraniumLever
