#include "servers/relay/crash_system.h"

#include <utility>

#include "servers/relay/relay_records.h"

namespace GeraniumLever {

void CrashSystem::responded(const RelayRow &row, TimePoint now)
{
    confirm(unconfirmedAnswers_.takeConfirmed(row.upstream, row.dispatchedAt, now));
}

void CrashSystem::answered(const RelayRow &row, TimePoint now)
{
    if (!row.succeeded) {
        return;
    }
    if (row.framing != BodyFraming::Connection) {
        quarantine_.noteAnswered(row.request.prompt, now);
    } else {
        unconfirmedAnswers_.add({ row.upstream, row.request.prompt, row.dispatchedAt, now });
    }
}

void CrashSystem::failed(const RelayRow &row, const RelayFailure &failure, TimePoint now)
{
    const UpstreamIdentity &upstream = row.upstreamOf(failure.attempt);
    unconfirmedAnswers_.noteFailure(upstream, now);
    if (failure.kind == RelayFailure::Kind::Broken) {
        const TimePoint sentAt = row.isOnStandby(failure.attempt) ? row.standby->dispatchedAt : row.dispatchedAt;
        quarantine_.noteCrash(upstream, row.request.prompt, sentAt, now);
    }
}

void CrashSystem::probed(const RelayProbeResult &result, TimePoint now)
{
    const std::vector<UnconfirmedAnswer> answers = unconfirmedAnswers_.takeProbed(result.upstream);
    if (result.reached) {
        confirm(answers);
    } else {
        noteBrokenOff(answers, now);
    }
}

void CrashSystem::confirm(const std::vector<UnconfirmedAnswer> &answers)
{
    for (const UnconfirmedAnswer &answer : answers) {
        quarantine_.noteAnswered(answer.prompt, answer.endedAt);
    }
}

void CrashSystem::noteBrokenOff(const std::vector<UnconfirmedAnswer> &answers, TimePoint now)
{
    for (const UnconfirmedAnswer &answer : answers) {
        quarantine_.noteCrash(answer.upstream, answer.prompt, answer.sentAt, answer.endedAt, now);
    }
}

void CrashSystem::upstreamsLost(const std::vector<UpstreamIdentity> &upstreams, TimePoint now)
{
    for (const UpstreamIdentity &upstream : upstreams) {
        noteBrokenOff(unconfirmedAnswers_.takeEnded(upstream), now);
        quarantine_.noteEnded(upstream, now);
    }
}

std::optional<CrashReport> CrashSystem::report(TimePoint now) const
{
    CrashReport report { self_, quarantine_.report(now) };
    return report.suspects.empty() ? std::nullopt : std::optional<CrashReport>(std::move(report));
}

QuarantineUpdate CrashSystem::reconcile(const StoredQuarantine &stored, TimePoint now)
{
    return quarantine_.reconcile(
        stored, [this](std::uint64_t part) { return fleet_.nodes().rank(self_, part); }, now);
}

void CrashSystem::tick(TimePoint now, RelayCommands &commands)
{
    quarantine_.expire(now);
    share(now, commands);
    unconfirmedAnswers_.expire(now);
    const auto isAccused = [this](const PromptInfo &prompt) { return quarantine_.accuses(prompt); };
    for (RelayProbe &probe : unconfirmedAnswers_.startDueProbes(isAccused, now)) {
        if (placement_.mayProbe(fleet_.directory(), probe.upstream, now)) {
            commands.emplace_back(std::move(probe));
        } else {
            unconfirmedAnswers_.takeProbed(probe.upstream);
        }
    }
}

void CrashSystem::share(TimePoint now, RelayCommands &commands)
{
    for (const QuarantineChange &change : quarantine_.takeChanges()) {
        commands.emplace_back(recordQuarantine(change));
    }
    std::vector<SuspectReport> news = quarantine_.takeNews(now);
    if (news.empty()) {
        return;
    }
    const CrashReport report { self_, std::move(news) };
    for (const PeerNode &peer : fleet_.peers().targets()) {
        commands.emplace_back(OutgoingCrashReport { peer.address, report });
    }
}

} // namespace GeraniumLever
