#include "servers/relay/crash_exchange.h"

#include <utility>

#include "servers/relay/relay_records.h"

namespace GeraniumLever {

std::optional<CrashReport> CrashExchange::report(TimePoint now) const
{
    CrashReport report { self_, quarantine_.report(now) };
    return report.suspects.empty() ? std::nullopt : std::optional<CrashReport>(std::move(report));
}

void CrashExchange::share(TimePoint now, RelayCommands &commands)
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
