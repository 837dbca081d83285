/** Tells other relays what this one knows about crashes. */
#pragma once

#include <optional>

#include "servers/relay/fleet_state.h"
#include "servers/relay/prompt_quarantine.h"

namespace GeraniumLever {

class CrashExchange
{
public:
    /** quarantine, fleet: must outlive the exchange. */
    CrashExchange(NodeName self, PromptQuarantine &quarantine, const FleetState &fleet)
        : self_(std::move(self)), quarantine_(quarantine), fleet_(fleet)
    {
    }

    /** What to tell once a second; absent if there is nothing to tell. */
    std::optional<CrashReport> report(TimePoint now) const;

    /** Records changed verdicts, and tells what has become known. */
    void share(TimePoint now, RelayCommands &commands);

private:
    NodeName self_;
    PromptQuarantine &quarantine_;
    const FleetState &fleet_;
};

} // namespace GeraniumLever
