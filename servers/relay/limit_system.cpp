#include "servers/relay/limit_system.h"

#include <utility>

#include "servers/relay/relay_records.h"

namespace GeraniumLever {

namespace {

constexpr Duration ExpiryPeriod = std::chrono::seconds(1);

} // namespace

void LimitSystem::answered(const UpstreamName &upstream,
                           const std::optional<double> &rate,
                           TimePoint sentAt,
                           TimePoint now,
                           RelayCommands &commands)
{
    fleet_.limits().noteAnswer(upstream, rate, sentAt, now);
    share(now, commands);
}

void LimitSystem::reportReceived(const LimitReport &report, TimePoint now, RelayCommands &commands)
{
    fleet_.limits().receive(report, now);
    share(now, commands);
}

std::optional<LimitReport> LimitSystem::report(TimePoint now)
{
    LimitReport report { self_, fleet_.limits().report(now) };
    return report.statements.empty() ? std::nullopt : std::optional<LimitReport>(std::move(report));
}

void LimitSystem::requestArrived(const RelayRow &row, TimePoint now)
{
    if (fleet_.limits().size() != 0) {
        admissions_[row.pool].noteRequest(row.tier, row.team, now);
    }
}

void LimitSystem::requestSent(const RelayRow &row, TimePoint now)
{
    if (!fleet_.limits().isLimited(row.upstream.name)) {
        return;
    }
    fleet_.limits().noteSent(row.upstream.name, now);
    admissions_[row.pool].noteServed(row.tier, row.team, now);
}

bool LimitSystem::admits(const RelayRow &row, const PlacementQuery &query, TimePoint now) const
{
    const auto admission = admissions_.find(row.pool);
    const bool continuesStream = row.firstByte.has_value();
    if (fleet_.limits().size() == 0 || admission == admissions_.end() || continuesStream) {
        return true;
    }
    const std::optional<RequestPermits> permits = placement_.permits(fleet_.directory(), query, now);
    return !permits.has_value() || admission->second.admits(row.tier, row.team, *permits, now);
}

void LimitSystem::tick(TimePoint now, RelayCommands &commands)
{
    share(now, commands);
    if (now < nextExpiry_) {
        return;
    }
    nextExpiry_ = now + ExpiryPeriod;
    for (auto &[pool, admission] : admissions_) {
        admission.expire(now);
    }
}

void LimitSystem::share(TimePoint now, RelayCommands &commands)
{
    for (const LimitChange &change : fleet_.limits().takeChanges()) {
        commands.emplace_back(recordLimit(change));
    }
    std::vector<LimitStatement> news = fleet_.limits().takeNews(now);
    if (news.empty()) {
        return;
    }
    const LimitReport report { self_, std::move(news) };
    for (const PeerNode &peer : fleet_.peers().targets()) {
        commands.emplace_back(OutgoingLimitReport { peer.address, report });
    }
}

} // namespace GeraniumLever
