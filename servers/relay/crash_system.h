/** Keeps requests under which upstreams crash from reaching more of them. */
#pragma once

#include <optional>

#include "servers/relay/fleet_state.h"
#include "servers/relay/prompt_quarantine.h"
#include "servers/relay/relay_placement.h"
#include "servers/relay/relay_row.h"
#include "servers/relay/unconfirmed_answers.h"

namespace GeraniumLever {

/** Learns from failures and answers under which requests upstreams crash, and tells other nodes. Commands that it adds
 *  are decision records, probes of upstreams, and reports to other nodes. */
class CrashSystem
{
public:
    /** The fleet's state and the placement must outlive the system. */
    CrashSystem(NodeName self, const FleetState &fleet, const RelayPlacement &placement, std::uint64_t seed)
        : self_(std::move(self)), fleet_(fleet), placement_(placement), quarantine_(seed)
    {
    }

    const PromptQuarantine &quarantine() const { return quarantine_; }

    /** Time for which the request must not be sent; zero if it may be. */
    Duration blockedFor(const RelayRow &row, TimePoint now) const
    {
        return quarantine_.blockedFor(row.request.prompt, now);
    }

    void requestSent(const RelayRow &row, TimePoint now) { quarantine_.noteSent(row.request.prompt, now); }

    /** The upstream of the row's attempt has begun to respond. */
    void responded(const RelayRow &row, TimePoint now);

    /** The row's answer has ended like a complete one. */
    void answered(const RelayRow &row, TimePoint now);

    void failed(const RelayRow &row, const RelayFailure &failure, TimePoint now);

    void probed(const RelayProbeResult &result, TimePoint now);

    /** The registry shows that these incarnations of upstreams have ended without a word that they leave. */
    void upstreamsLost(const std::vector<UpstreamIdentity> &upstreams, TimePoint now);

    /** Handles what another node knows. */
    void reportReceived(const CrashReport &report, TimePoint now) { quarantine_.receive(report, now); }

    /** What to tell other nodes once a second; absent if there is nothing to tell. */
    std::optional<CrashReport> report(TimePoint now) const;

    /** Adopts the quarantined parts that the store knows; returns what this node should change there. */
    QuarantineUpdate reconcile(const StoredQuarantine &stored, TimePoint now);

    /** To be called every few tens of milliseconds. */
    void tick(TimePoint now, RelayCommands &commands);

private:
    void confirm(const std::vector<UnconfirmedAnswer> &answers);
    /** The upstreams of these answers crashed when the answers ended. */
    void noteBrokenOff(const std::vector<UnconfirmedAnswer> &answers, TimePoint now);
    /** Records changed verdicts, and tells other nodes what has become known. */
    void share(TimePoint now, RelayCommands &commands);

    NodeName self_;
    const FleetState &fleet_;
    const RelayPlacement &placement_;
    PromptQuarantine quarantine_;
    UnconfirmedAnswers unconfirmedAnswers_;
};

} // namespace GeraniumLever
