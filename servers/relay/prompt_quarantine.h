/** Finds the prompt parts and the requests under which upstreams crash. */
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "servers/relay/answered_parts.h"
#include "servers/relay/crash_suspect.h"
#include "servers/relay/relay_messages.h"
#include "servers/routing/routing.h"

namespace GeraniumLever {

/** The quarantined parts as they were read from the store, with the number of crashes under each. */
struct StoredQuarantine
{
    std::map<std::uint64_t, std::uint32_t> crashes;
    StoreState state;
};

/** Changes that the store's list of quarantined parts needs. */
struct QuarantineUpdate
{
    std::map<std::uint64_t, std::uint32_t> added;
    std::vector<std::uint64_t> removed;

    bool empty() const { return added.empty() && removed.empty(); }

    bool operator==(const QuarantineUpdate &) const = default;
};

/** A part was quarantined, or released. */
struct QuarantineChange
{
    std::uint64_t part = 0;
    bool quarantined = false;
    std::uint32_t crashes = 0;

    auto operator<=>(const QuarantineChange &) const = default;
};

/**
 * Keeps requests with a prompt part that crashes upstreams, and repeats of a request that does, from reaching more of
 * them.
 *
 * A crash takes sound requests along, so it makes every part of the upstream's unanswered requests a suspect, and each
 * of these requests as a whole by its fingerprint. An answer
 * clears all parts of its request. A suspect is quarantined once several upstreams have crashed under it, at different
 * times, with no answer in between; more crashes are needed for a part that had been answered before. Among suspects
 * that account for the same crashes, the one without earlier answers and then the most specific one is quarantined.
 * Crashes under a quarantined part no longer count against the others; those under a quarantined request have one
 * cause, so that together they count once against its parts. A part that crashes upstreams is in several such requests.
 * A quarantined part is tried again with a single request after a while, which grows with the number of crashes. The
 * last part of a prompt belongs to a single request or session and is never a suspect.
 *
 * A whole request is judged by its own attempts alone, each sent after the one before had crashed an upstream. A sound
 * request that was sent along with a crashing one every time is quarantined with it, so the first trial comes soon.
 */
class PromptQuarantine
{
public:
    explicit PromptQuarantine(std::uint64_t seed) : random_(seed) { }

    /** The upstream ended the connection on which it had this request, sent at sentAt, before the answer was complete.
     */
    void noteCrash(const UpstreamIdentity &upstream, const PromptInfo &prompt, TimePoint sentAt, TimePoint now)
    {
        noteCrash(upstream, prompt, sentAt, now, now);
    }

    /** The same for an answer that ended some time ago like a complete one. */
    void noteCrash(
        const UpstreamIdentity &upstream, const PromptInfo &prompt, TimePoint sentAt, TimePoint endedAt, TimePoint now);

    /** The registry shows that this incarnation of an upstream has ended. */
    void noteEnded(const UpstreamIdentity &upstream, TimePoint now);

    /** An upstream has answered this request completely. */
    void noteAnswered(const PromptInfo &prompt, TimePoint now);

    /** Merges what a peer knows. */
    void receive(const CrashReport &report, TimePoint now);

    /** True if an answer to this request would clear one of its parts. */
    bool accuses(const PromptInfo &prompt) const;

    /** Time for which the request must not be sent; zero if it may be. */
    Duration blockedFor(const PromptInfo &prompt, TimePoint now) const;

    /** The request is sent to an upstream; for a quarantined part this is the trial. */
    void noteSent(const PromptInfo &prompt, TimePoint now);

    /** What peers must be told now. Leaves out what may soon be cleared, and limits the rate. */
    std::vector<SuspectReport> takeNews(TimePoint now);

    /** What peers are told periodically, in case they have missed it. */
    std::vector<SuspectReport> report(TimePoint now) const;

    /** Adopts what the store knows, and returns what it should know. rankOf: position of this node among those that
     *  write a part; a node of a lower rank leaves the change to the others for as many calls. */
    QuarantineUpdate reconcile(const StoredQuarantine &stored,
                               const std::function<std::size_t(std::uint64_t)> &rankOf,
                               TimePoint now);

    /** True if the same parts are quarantined here, after no more crashes. */
    bool agreesWith(const StoredQuarantine &stored) const;

    /** Rises with each part that is quarantined or released, and with each crash under a quarantined part. */
    std::uint64_t revision() const { return revision_; }

    /** Changes since the last call. */
    std::vector<QuarantineChange> takeChanges() { return std::exchange(changes_, {}); }

    /** Forgets suspects against which nothing more has become known. */
    void expire(TimePoint now);

    /** Number of quarantined parts. */
    std::size_t size() const;

    /** Number of parts under which at least one upstream has crashed since they were last answered. */
    std::size_t suspects() const;

    /** Maximum number of suspects in one report, and of crashes under all of them. */
    static constexpr std::size_t MaxReportedSuspects = 8;
    static constexpr std::size_t MaxReportedCrashes = 48;

private:
    using Suspect = CrashSuspect;
    using Suspects = std::map<std::uint64_t, Suspect>;

    /** True if the store's list says the same about the part as this node. */
    static bool isStored(std::uint64_t part, const Suspect &suspect, const StoredQuarantine &stored);
    /** The parts that fit into one report, those with the most crashes first. */
    std::vector<std::uint64_t> mostAccused(const std::function<bool(const Suspect &)> &matters) const;
    /** Adds what is known about a suspect, as far as the report has room for its crashes. */
    void addReport(std::uint64_t part, TimePoint now, std::vector<SuspectReport> &reports) const;
    Suspect &suspectOf(std::uint64_t part, TimePoint now);
    /** Calls visit with each suspect that the request could be, as an identifier and its position in the prompt. */
    template<typename Visit>
    static void forEachSuspect(const PromptInfo &prompt, Visit visit);
    /** Returns false if the crash is known, or precedes an answer. */
    bool addCrash(Suspect &suspect, std::uint64_t upstream, const UpstreamCrash &crash);
    void noteTrial(Suspect &suspect, TimePoint at);
    /** True if the suspect is a part, and another part is quarantined for this crash. */
    bool isAccountedFor(std::uint64_t part, std::uint64_t upstream) const;
    /** Attributes the crash to the reported request, or to a quarantined one that accounts for it, unless the suspect
     * is a request itself. */
    void attribute(Suspect &suspect, std::uint64_t upstream, std::uint64_t reportedCulprit) const;
    void clear(std::uint64_t part, Suspect &suspect, TimePoint at);
    void noteChanged(Suspect &suspect, TimePoint now);
    /** Number of causes that the crashes would have if the suspect were sound. */
    std::uint32_t causesOf(std::uint64_t part) const;
    /** True if the same crashes speak against another part that no request has together with this one. */
    bool hasRival(std::uint64_t part) const;
    /** Quarantines those of the parts that now account for enough crashes. */
    void judge(const std::vector<std::uint64_t> &parts, TimePoint now);
    void quarantine(std::uint64_t part, Suspect &suspect, TimePoint now);
    /** Lets the crashes that the quarantined suspect accounts for speak less against the parts. */
    void exonerateOthers(std::uint64_t culprit, const Suspect &culpritSuspect, TimePoint now);
    void release(std::uint64_t part, Suspect &suspect);
    void releaseIfExplained(std::uint64_t part, Suspect &suspect, TimePoint now);
    void noteQuarantineChanged(std::uint64_t part, const Suspect &suspect);
    void postponeTrial(Suspect &suspect, TimePoint from);

    RandomSource random_;
    AnsweredParts answered_;
    CrashLog crashLog_;
    Suspects suspects_;
    std::vector<QuarantineChange> changes_;
    std::uint64_t revision_ = 0;
    TimePoint nextNewsAt_;
};

} // namespace GeraniumLever
