#include "servers/relay/prompt_quarantine.h"

#include <algorithm>
#include <tuple>

#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** Most sound parts are cleared within this time after a crash, so peers need not be told. */
constexpr Duration FirstNewsDelay = std::chrono::milliseconds(200);
constexpr Duration NewsPeriod = std::chrono::milliseconds(100);
/** Reports of trials that differ by less are about the same one. */
constexpr Duration SameTrialTime = std::chrono::seconds(1);
/** Number of nodes that write a part into the store, in case the first ones cannot. */
constexpr std::size_t StoreWriters = 3;
constexpr std::size_t MaxSuspects = 4096;

std::uint64_t hashOf(const UpstreamIdentity &upstream)
{
    const std::string text =
        upstream.name.text() + '\n' + upstream.address + '\n' + std::to_string(upstream.incarnation);
    return XXH64(text.data(), text.size(), 0);
}

bool isFingerprint(std::uint64_t suspect)
{
    return (suspect & RequestFingerprintBit) != 0;
}

} // namespace

template<typename Visit>
void PromptQuarantine::forEachSuspect(const PromptInfo &prompt, Visit visit)
{
    const std::size_t shared = prompt.parts.empty() ? 0 : prompt.parts.size() - 1;
    for (std::size_t index = 0; index < shared; ++index) {
        visit(prompt.parts[index].id, static_cast<std::uint32_t>(index));
    }
    if (prompt.fingerprint != 0) {
        visit(prompt.fingerprint, static_cast<std::uint32_t>(shared));
    }
}

void PromptQuarantine::noteCrash(
    const UpstreamIdentity &upstream, const PromptInfo &prompt, TimePoint sentAt, TimePoint endedAt, TimePoint now)
{
    const std::uint64_t hash = hashOf(upstream);
    crashLog_.noteCrash(hash, endedAt);
    std::vector<std::uint64_t> accused;
    forEachSuspect(prompt, [&](std::uint64_t id, std::uint32_t depth) {
        if (isAccountedFor(id, hash)) {
            return;
        }
        Suspect &suspect = suspectOf(id, now);
        suspect.depth = std::max(suspect.depth, depth);
        if (addCrash(suspect, hash, { endedAt, sentAt })) {
            attribute(suspect, hash, 0);
            noteChanged(suspect, now);
            accused.push_back(id);
        }
    });
    judge(accused, now);
}

void PromptQuarantine::noteEnded(const UpstreamIdentity &upstream, TimePoint now)
{
    const std::uint64_t hash = hashOf(upstream);
    crashLog_.noteEnded(hash, now);
    std::vector<std::uint64_t> accused;
    for (const auto &[id, suspect] : suspects_) {
        if (suspect.evidence.contains(hash)) {
            accused.push_back(id);
        }
    }
    judge(accused, now);
}

void PromptQuarantine::noteAnswered(const PromptInfo &prompt, TimePoint now)
{
    forEachSuspect(prompt, [&](std::uint64_t id, std::uint32_t) {
        // Most requests come only once.
        if (!isFingerprint(id)) {
            answered_.insert(id);
        }
        const auto found = suspects_.find(id);
        if (found == suspects_.end() || !found->second.isAccused()) {
            return;
        }
        clear(id, found->second, now);
        if (found->second.shared) {
            found->second.newsAt = now;
        }
    });
}

void PromptQuarantine::receive(const CrashReport &report, TimePoint now)
{
    std::vector<std::uint64_t> accused;
    for (const SuspectReport &reported : report.suspects) {
        if (reported.crashes.empty() && suspects_.count(reported.part) == 0) {
            continue;
        }
        Suspect &suspect = suspectOf(reported.part, now);
        suspect.depth = std::max(suspect.depth, reported.depth);
        suspect.shared = true;
        bool changed = reported.hadAnswers != suspect.hadAnswers;
        suspect.hadAnswers = suspect.hadAnswers || reported.hadAnswers;
        if (reported.clearedAge.has_value()) {
            const bool wasAccused = suspect.isAccused();
            clear(reported.part, suspect, now - *reported.clearedAge);
            changed = changed || (wasAccused && !suspect.isAccused());
        }
        for (const SuspectedCrash &crash : reported.crashes) {
            crashLog_.noteCrash(crash.upstream, now - crash.age);
            if (!isAccountedFor(reported.part, crash.upstream)
                && addCrash(suspect, crash.upstream, { now - crash.age, now - crash.sentAge })) {
                changed = true;
                accused.push_back(reported.part);
            }
            attribute(suspect, crash.upstream, crash.culprit);
        }
        releaseIfExplained(reported.part, suspect, now);
        if (reported.trialAge.has_value()) {
            const TimePoint at = now - *reported.trialAge;
            if (!suspect.trialAt.has_value() || at > *suspect.trialAt + SameTrialTime) {
                noteTrial(suspect, at);
                changed = true;
            }
        }
        if (changed) {
            noteChanged(suspect, now);
        }
    }
    judge(accused, now);
}

bool PromptQuarantine::accuses(const PromptInfo &prompt) const
{
    bool isAccused = false;
    forEachSuspect(prompt, [&](std::uint64_t id, std::uint32_t) {
        const auto found = suspects_.find(id);
        isAccused = isAccused || (found != suspects_.end() && found->second.isAccused());
    });
    return isAccused;
}

Duration PromptQuarantine::blockedFor(const PromptInfo &prompt, TimePoint now) const
{
    Duration longest(0);
    if (suspects_.empty()) {
        return longest;
    }
    forEachSuspect(prompt, [&](std::uint64_t id, std::uint32_t) {
        const auto found = suspects_.find(id);
        if (found != suspects_.end() && found->second.quarantined) {
            longest = std::max(longest, found->second.blockedUntil - now);
        }
    });
    return longest;
}

void PromptQuarantine::noteSent(const PromptInfo &prompt, TimePoint now)
{
    if (suspects_.empty()) {
        return;
    }
    forEachSuspect(prompt, [&](std::uint64_t id, std::uint32_t) {
        const auto found = suspects_.find(id);
        if (found != suspects_.end() && found->second.quarantined) {
            found->second.newsAt = now;
            noteTrial(found->second, now);
        }
    });
}

void PromptQuarantine::noteTrial(Suspect &suspect, TimePoint at)
{
    suspect.trialAt = at;
    ++suspect.trials;
    postponeTrial(suspect, at);
}

std::vector<SuspectReport> PromptQuarantine::takeNews(TimePoint now)
{
    if (now < nextNewsAt_) {
        return {};
    }
    const std::vector<std::uint64_t> due =
        mostAccused([now](const Suspect &suspect) { return suspect.newsAt.has_value() && now >= *suspect.newsAt; });
    std::vector<SuspectReport> news;
    news.reserve(due.size());
    for (const std::uint64_t part : due) {
        Suspect &suspect = suspects_.at(part);
        suspect.newsAt.reset();
        suspect.shared = true;
        addReport(part, now, news);
    }
    if (!news.empty()) {
        nextNewsAt_ = now + NewsPeriod;
    }
    return news;
}

std::vector<SuspectReport> PromptQuarantine::report(TimePoint now) const
{
    const std::vector<std::uint64_t> parts = mostAccused([](const Suspect &suspect) {
        const bool matters = suspect.quarantined || suspect.crashCount() > 1 || suspect.clearedAt.has_value();
        return matters && (suspect.shared || suspect.quarantined);
    });
    std::vector<SuspectReport> reports;
    reports.reserve(parts.size());
    for (const std::uint64_t part : parts) {
        addReport(part, now, reports);
    }
    return reports;
}

std::vector<std::uint64_t> PromptQuarantine::mostAccused(const std::function<bool(const Suspect &)> &matters) const
{
    std::vector<std::tuple<bool, std::uint32_t, std::uint64_t>> order;
    for (const auto &[part, suspect] : suspects_) {
        if (matters(suspect)) {
            order.emplace_back(suspect.quarantined, suspect.crashCount(), part);
        }
    }
    const std::size_t count = std::min(order.size(), MaxReportedSuspects);
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(), std::greater<>());
    std::vector<std::uint64_t> parts;
    parts.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        parts.push_back(std::get<std::uint64_t>(order[index]));
    }
    return parts;
}

QuarantineUpdate PromptQuarantine::reconcile(const StoredQuarantine &stored,
                                             const std::function<std::size_t(std::uint64_t)> &rankOf,
                                             TimePoint now)
{
    for (const auto &[part, crashes] : stored.crashes) {
        const auto found = suspects_.find(part);
        if (found != suspects_.end()
            && (found->second.clearedAt.has_value() || found->second.exoneratedAt.has_value())) {
            continue;
        }
        Suspect &suspect = suspectOf(part, now);
        const std::uint32_t known = static_cast<std::uint32_t>(suspect.evidence.size());
        suspect.storedCrashes = std::max(suspect.storedCrashes, crashes - std::min(crashes, known));
        if (!suspect.quarantined) {
            suspect.trials = std::max<std::uint32_t>(suspect.trials, 1);
            quarantine(part, suspect, now);
        }
    }
    QuarantineUpdate update;
    for (auto &[part, suspect] : suspects_) {
        if (isStored(part, suspect, stored)) {
            suspect.storeDifferences = 0;
            continue;
        }
        const std::size_t rank = rankOf(part);
        if (rank >= StoreWriters || suspect.storeDifferences++ < rank) {
            continue;
        }
        if (suspect.quarantined) {
            update.added.emplace(part, suspect.crashCount());
        } else if (suspect.released) {
            update.removed.push_back(part);
        }
    }
    return update;
}

bool PromptQuarantine::agreesWith(const StoredQuarantine &stored) const
{
    return size() == stored.crashes.size()
        && std::all_of(suspects_.begin(), suspects_.end(), [&stored](const auto &entry) {
               return isStored(entry.first, entry.second, stored);
           });
}

bool PromptQuarantine::isStored(std::uint64_t part, const Suspect &suspect, const StoredQuarantine &stored)
{
    const auto row = stored.crashes.find(part);
    return suspect.quarantined ? row != stored.crashes.end() && row->second >= suspect.crashCount()
                               : row == stored.crashes.end();
}

void PromptQuarantine::expire(TimePoint now)
{
    crashLog_.expire(now);
    std::erase_if(suspects_, [now](const auto &entry) { return entry.second.hasExpired(now); });
}

std::size_t PromptQuarantine::size() const
{
    return static_cast<std::size_t>(
        std::count_if(suspects_.begin(), suspects_.end(), [](const auto &entry) { return entry.second.quarantined; }));
}

std::size_t PromptQuarantine::suspects() const
{
    return static_cast<std::size_t>(
        std::count_if(suspects_.begin(), suspects_.end(), [](const auto &entry) { return entry.second.isAccused(); }));
}

void PromptQuarantine::addReport(std::uint64_t part, TimePoint now, std::vector<SuspectReport> &reports) const
{
    std::size_t room = MaxReportedCrashes;
    for (const SuspectReport &other : reports) {
        room -= other.crashes.size();
    }
    reports.push_back(suspects_.at(part).report(part, room, now));
}

PromptQuarantine::Suspect &PromptQuarantine::suspectOf(std::uint64_t part, TimePoint now)
{
    const auto known = suspects_.find(part);
    if (known != suspects_.end()) {
        return known->second;
    }
    if (suspects_.size() >= MaxSuspects) {
        const auto weight = [](const Suspects::value_type &entry) {
            return std::tuple(entry.second.quarantined, entry.second.crashCount(), entry.second.changedAt);
        };
        suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(), [&weight](const auto &a, const auto &b) {
            return weight(a) < weight(b);
        }));
    }
    Suspect &suspect = suspects_[part];
    suspect.isRequest = isFingerprint(part);
    suspect.hadAnswers = answered_.contains(part);
    suspect.changedAt = now;
    return suspect;
}

bool PromptQuarantine::addCrash(Suspect &suspect, std::uint64_t upstream, const UpstreamCrash &crash)
{
    const bool isOld = suspect.clearedAt.has_value() && crash.at <= *suspect.clearedAt;
    if (isOld || !suspect.evidence.add(upstream, crash)) {
        return false;
    }
    if (suspect.quarantined) {
        ++revision_;
        postponeTrial(suspect, crash.at);
    }
    return true;
}

bool PromptQuarantine::isAccountedFor(std::uint64_t part, std::uint64_t upstream) const
{
    return !isFingerprint(part) && std::any_of(suspects_.begin(), suspects_.end(), [&](const auto &entry) {
        const Suspect &suspect = entry.second;
        return entry.first != part && suspect.quarantined && !suspect.isRequest && suspect.evidence.contains(upstream);
    });
}

void PromptQuarantine::attribute(Suspect &suspect, std::uint64_t upstream, std::uint64_t reportedCulprit) const
{
    if (suspect.isRequest) {
        return;
    }
    const auto culprit = std::find_if(suspects_.begin(), suspects_.end(), [upstream](const auto &entry) {
        const Suspect &other = entry.second;
        return other.quarantined && other.isRequest && other.evidence.contains(upstream);
    });
    suspect.evidence.attribute(upstream, culprit != suspects_.end() ? culprit->first : reportedCulprit);
}

void PromptQuarantine::clear(std::uint64_t part, Suspect &suspect, TimePoint at)
{
    suspect.clearedAt = std::max(suspect.clearedAt.value_or(at), at);
    suspect.evidence.eraseUntil(*suspect.clearedAt);
    suspect.hadAnswers = true;
    if (!suspect.evidence.empty()) {
        return;
    }
    suspect.storedCrashes = 0;
    suspect.trialAt.reset();
    suspect.trials = 0;
    if (suspect.quarantined) {
        release(part, suspect);
    }
}

void PromptQuarantine::release(std::uint64_t part, Suspect &suspect)
{
    suspect.quarantined = false;
    suspect.released = true;
    suspect.trialAt.reset();
    noteQuarantineChanged(part, suspect);
}

void PromptQuarantine::noteChanged(Suspect &suspect, TimePoint now)
{
    suspect.changedAt = now;
    const bool mayBeCleared = suspect.crashCount() < 2 && !suspect.clearedAt.has_value();
    const TimePoint due = mayBeCleared ? now + FirstNewsDelay : now;
    suspect.newsAt = std::min(suspect.newsAt.value_or(due), due);
}

std::uint32_t PromptQuarantine::causesOf(std::uint64_t part) const
{
    const Suspect &suspect = suspects_.at(part);
    const CrashEvidence &evidence = suspect.evidence;
    if (suspect.isRequest) {
        return evidence.successiveCrashes();
    }
    const std::uint32_t episodes = evidence.episodes();
    const std::uint32_t separate = suspect.hadAnswers ? episodes : evidence.separateCrashes(crashLog_);
    // A part that is in most requests is in those of all upstreams that lose power together.
    return (separate > episodes && hasRival(part) ? episodes : separate) + evidence.culprits();
}

bool PromptQuarantine::hasRival(std::uint64_t part) const
{
    const Suspect &suspect = suspects_.at(part);
    return std::any_of(suspects_.begin(), suspects_.end(), [&](const auto &entry) {
        const Suspect &other = entry.second;
        return entry.first != part && !other.isRequest && other.depth == suspect.depth
            && other.evidence.containsAll(suspect.evidence);
    });
}

void PromptQuarantine::judge(const std::vector<std::uint64_t> &parts, TimePoint now)
{
    for (const std::uint64_t part : parts) {
        if (suspects_.at(part).quarantined) {
            exonerateOthers(part, suspects_.at(part), now);
        }
    }
    std::vector<std::tuple<bool, std::uint32_t, std::uint32_t, std::uint64_t>> order;
    order.reserve(parts.size());
    for (const std::uint64_t part : parts) {
        const Suspect &suspect = suspects_.at(part);
        order.emplace_back(!suspect.hadAnswers, causesOf(part), suspect.depth, part);
    }
    std::sort(order.begin(), order.end(), std::greater<>());
    for (const auto &[isNew, causes, depth, part] : order) {
        Suspect &suspect = suspects_.at(part);
        if (!suspect.quarantined && causesOf(part) >= suspect.neededCauses()) {
            quarantine(part, suspect, now);
        }
    }
}

void PromptQuarantine::quarantine(std::uint64_t part, Suspect &suspect, TimePoint now)
{
    suspect.quarantined = true;
    suspect.released = false;
    suspect.exoneratedAt.reset();
    suspect.changedAt = now;
    suspect.blockedUntil = now;
    postponeTrial(suspect, now);
    noteQuarantineChanged(part, suspect);
    exonerateOthers(part, suspect, now);
}

void PromptQuarantine::exonerateOthers(std::uint64_t culprit, const Suspect &culpritSuspect, TimePoint now)
{
    for (auto &[part, suspect] : suspects_) {
        if (part == culprit || suspect.isRequest) {
            continue;
        }
        if (culpritSuspect.isRequest) {
            suspect.evidence.attribute(culpritSuspect.evidence, culprit);
            releaseIfExplained(part, suspect, now);
        } else if (!suspect.quarantined) {
            suspect.evidence.erase(culpritSuspect.evidence);
        }
    }
}

void PromptQuarantine::releaseIfExplained(std::uint64_t part, Suspect &suspect, TimePoint now)
{
    if (suspect.isRequest || !suspect.quarantined || !suspect.isExplained()) {
        return;
    }
    suspect.exoneratedAt = now;
    suspect.changedAt = now;
    release(part, suspect);
}

void PromptQuarantine::noteQuarantineChanged(std::uint64_t part, const Suspect &suspect)
{
    ++revision_;
    changes_.push_back({ part, suspect.quarantined, suspect.crashCount() });
}

void PromptQuarantine::postponeTrial(Suspect &suspect, TimePoint from)
{
    // Spread over all nodes, so that one of them makes the trial and the others hear of it before their own.
    const std::chrono::duration<double, Duration::period> spread = suspect.trialDelay() * (1.0 + random_.fraction());
    suspect.blockedUntil = std::max(suspect.blockedUntil, from + std::chrono::duration_cast<Duration>(spread));
}

} // namespace GeraniumLever
