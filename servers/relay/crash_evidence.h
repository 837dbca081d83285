/** The crashes that speak against one suspect of the prompt quarantine. */
#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/core.h"

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

    /** Returns false if the crash is known, or if there is no room for it. */
    bool add(std::uint64_t upstream, const UpstreamCrash &crash);

    /** Erases the crashes until the time. */
    void eraseUntil(TimePoint time);

    /** Erases the crashes that the other suspect accounts for. */
    void erase(const CrashEvidence &other);

    /** Attributes the crash to a request unless another one accounts for it. */
    void attribute(std::uint64_t upstream, std::uint64_t fingerprint);

    /** Attributes all crashes that the request accounts for in the same way. */
    void attribute(const CrashEvidence &request, std::uint64_t fingerprint);

    /** Number of crashes without a culprit that are far enough apart to have separate causes. */
    std::uint32_t episodes() const;

    /** Number of crashes of requests that were each sent after the crash before. */
    std::uint32_t successiveCrashes() const;

    /** Number of different requests that account for crashes. */
    std::uint32_t culprits() const;

    /** True if there is a crash that no request accounts for. */
    bool hasUnattributed() const;

    static constexpr std::size_t MaxCrashes = 12;

private:
    Crashes crashes_;
};

} // namespace GeraniumLever
