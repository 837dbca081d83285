/** The crashes that speak against one suspect of the prompt quarantine. */
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "servers/relay/crash_log.h"

namespace GeraniumLever {

/** A crash of an upstream while it had a request with the suspect. */
struct UpstreamCrash
{
    TimePoint at;
    /** When the request was sent to the upstream. */
    TimePoint sentAt;
    /** The quarantined request that accounts for the crash; 0 if none is known. */
    std::uint64_t culprit = 0;

    auto operator<=>(const UpstreamCrash &) const = default;
};

/** The crashes under one suspect since it was last cleared, by the hash of the upstream's incarnation. */
class CrashEvidence
{
public:
    using Crashes = std::map<std::uint64_t, UpstreamCrash>;

    const Crashes &crashes() const { return crashes_; }
    std::size_t size() const { return crashes_.size(); }
    bool empty() const { return crashes_.empty(); }
    bool contains(std::uint64_t upstream) const { return crashes_.count(upstream) != 0; }

    bool containsAll(const CrashEvidence &other) const;

    /** Returns false if the crash is known, or if it says no more than those that are known. If there is no room, one
     *  of the crashes that have the most others at their moment gives way. */
    bool add(std::uint64_t upstream, const UpstreamCrash &crash);

    /** Erases the crashes until the time. */
    void eraseUntil(TimePoint time);

    /** Erases the crashes that the other suspect accounts for. */
    void erase(const CrashEvidence &other);

    /** Attributes the crash to a request unless another one accounts for it. */
    void attribute(std::uint64_t upstream, std::uint64_t fingerprint);

    /** Attributes all crashes that the request accounts for in the same way. */
    void attribute(const CrashEvidence &request, std::uint64_t fingerprint);

    /** Number of moments at which there were crashes without a culprit. */
    std::uint32_t episodes() const;

    /** The same, but crashes of one moment count one by one if the upstreams have ended, and if no other upstream broke
     *  off a connection then: what ends only upstreams with the suspect is the suspect. */
    std::uint32_t separateCrashes(const CrashLog &log) const;

    /** The upstreams of up to so many crashes that together tell the most. */
    std::vector<std::uint64_t> mostTelling(std::size_t count) const;

    /** Number of crashes of requests that were each sent after the crash before. */
    std::uint32_t successiveCrashes() const;

    /** Number of different requests that account for crashes. */
    std::uint32_t culprits() const;

    /** True if there is a crash that no request accounts for. */
    bool hasUnattributed() const;

    static constexpr std::size_t MaxCrashes = 12;

private:
    /** Upstreams whose crashes are likely to have one cause. */
    using Group = std::vector<std::uint64_t>;

    /** The crashes without a culprit, by moment. */
    std::vector<Group> moments() const;
    /** The crashes by moment or culprit. */
    std::vector<Group> groups() const;
    /** True if no other upstream broke off a connection at that moment. */
    bool isAlone(const Group &moment, const CrashLog &log) const;

    Crashes crashes_;
};

} // namespace GeraniumLever
