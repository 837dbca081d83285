/** Decision records of the relay, written to the log. */
#pragma once

#include <vector>

#include "servers/relay/prompt_quarantine.h"
#include "servers/relay/relay_placement.h"
#include "servers/relay/relay_row.h"
#include "servers/relay/stream_locator.h"

namespace GeraniumLever {

/** Another configuration became active. */
Decision recordConfiguration(const StoredConfiguration &stored, ConfigurationVersion before);

/** The store has been restored from a copy. */
Decision recordStoreEra(const StoreEras &eras, TimePoint now);

/** One record for each upstream that has changed. */
std::vector<Decision> recordDirectoryChanges(const DirectoryChanges &changes);

/** The upstream of the row's attempt has stated something about itself. */
Decision recordNotice(const RelayRow &row, const UpstreamNotice &notice);

/** What the upstream stated before its new incarnation was registered now holds for that one. */
Decision recordCarriedNotice(const UpstreamName &upstream);

/** The limit of an upstream has become known, has changed or has ended. */
Decision recordLimit(const LimitChange &change);

/** A prompt part was quarantined, or released. */
Decision recordQuarantine(const QuarantineChange &change);

Decision recordProbe(const RelayProbeResult &result);

/** The request was rejected before admission. */
Decision recordReject(const RelayRequest &request,
                      const Error &error,
                      const ConfigurationTracker &configuration,
                      TimePoint now);

/** The row's attempt was sent. */
Decision recordDispatch(const RelayRow &row, const Placement &placement, TimePoint now);

/** The search for the origin of the stream that the row's request takes up has ended. */
Decision recordTakeUp(const RelayRow &row, const LocatedStream &located);

/** ahead: requests that are served before it. utilization: estimated share of the pool's seats in use. */
Decision recordWait(const RelayRow &row, std::size_t ahead, double utilization);

/** The upstream of the row's attempt has been silent for longer than expected; the attempt goes on. */
Decision recordSilence(const RelayRow &row, TimePoint now);

/** The silent attempt is the row's current one again: it has received something, or its replacement failed. */
Decision recordRevival(const RelayRow &row, TimePoint now);

/** The row's last attempt failed for the reason in lastFailure. */
Decision recordFailedAttempt(const RelayRow &row, TimePoint now);

Decision recordFinish(const RelayRow &row, Outcome outcome, ResultCode code, TimePoint now);

} // namespace GeraniumLever
