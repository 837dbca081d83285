/** Log records of the relay's decisions. */
#pragma once

#include <vector>

#include "servers/relay/relay_placement.h"
#include "servers/relay/relay_row.h"

namespace GeraniumLever {

/** Another configuration is in use. */
Decision recordConfiguration(const SiteConfiguration &configuration, ConfigurationVersion before);

/** One record for each upstream that has changed. */
std::vector<Decision> recordChanges(const DirectoryChanges &changes);

Decision recordProbe(const RelayProbeResult &result);

/** The request is refused before it is admitted. */
Decision recordReject(const RelayRequest &request,
                      const Error &error,
                      const ConfigurationKeeper &configuration,
                      TimePoint now);

/** The row's attempt is sent. */
Decision recordDispatch(const RelayRow &row, const Placement &placement, TimePoint now);

/** ahead: requests that are served before it. fill: share of the pool's seats believed to be taken. */
Decision recordWait(const RelayRow &row, std::size_t ahead, double fill);

/** The row's last attempt failed for the row's cause. */
Decision recordFailedAttempt(const RelayRow &row, TimePoint now);

Decision recordFinish(const RelayRow &row, Outcome outcome, ResultCode code, TimePoint now);

} // namespace GeraniumLever
