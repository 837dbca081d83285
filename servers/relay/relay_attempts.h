/** The attempts at upstreams that are in progress. */
#pragma once

#include <map>
#include <optional>

#include "servers/relay/relay_placement.h"
#include "servers/relay/relay_row.h"

namespace GeraniumLever {

/** The command that sends the row's request to the upstream of its attempt. */
RelayDispatch dispatchOf(const RelayRow &row, TimePoint now);

/** Knows the request of each attempt, and accounts for the load that the attempts put on their upstreams. */
class RelayAttempts
{
public:
    /** origin: of the attempts' identifiers. placement: must outlive the attempts. */
    RelayAttempts(std::uint64_t origin, RelayPlacement &placement) : origin_(origin), placement_(placement) { }

    /** Gives the row a new attempt. */
    void start(RelayRow &row, const Placement &placement, TimePoint now);

    /** Another part of the response to one of the row's attempts has arrived. */
    void noteProgress(RelayRow &row, const RelayProgress &progress, TimePoint now, RelayCommands &commands);

    /** Releases the attempt's load at its upstream; the row has no attempt afterwards. */
    void end(RelayRow &row);

    /** Ends an attempt that could not connect to its upstream; it does not count. */
    void endUnsent(RelayRow &row);

    /** Ends the attempt, and cancels it at its upstream. */
    void cancel(RelayRow &row, RelayCommands &commands);

    /** Keeps the row's attempt beside the one that starts next. endsAt: when it ends at the latest. */
    static void putOnStandby(RelayRow &row, TimePoint endsAt);

    /** Makes the attempt on standby the row's current one, and puts the other on standby if there is one. */
    static void revive(RelayRow &row, TimePoint now, RelayCommands &commands);

    /** Releases the load of the attempt on standby; the row has none afterwards. */
    void endStandby(RelayRow &row);

    /** Ends the attempt on standby if there is one, and cancels it at its upstream. */
    void cancelStandby(RelayRow &row, RelayCommands &commands);

    /** Pauses or resumes reading all of the row's attempts, including those that start later. Their silence counts from
     *  when reading goes on. */
    static void setCallerBacklogged(RelayRow &row, bool backlogged, TimePoint now, RelayCommands &commands);

    /** Absent if the attempt has ended. */
    std::optional<RequestId> requestOf(const AttemptId &attempt) const;

private:
    void noteHeldBack(RelayRow &row, const AttemptId &attempt, TimePoint now, RelayCommands &commands);

    std::uint64_t origin_;
    RelayPlacement &placement_;
    std::uint64_t lastSequence_ = 0;
    std::map<AttemptId, RequestId> requests_;
};

} // namespace GeraniumLever
