/** Decides what becomes of each relayed request. */
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "servers/relay/relay_admission.h"
#include "servers/relay/relay_placement.h"
#include "servers/relay/relay_queue.h"
#include "servers/relay/relay_retry_budget.h"
#include "servers/relay/retry_after_estimator.h"
#include "servers/relay/work_exchange.h"

namespace GeraniumLever {

struct RelaySystemSettings
{
    NodeName node;
    DataCenterName dataCenter;
    RepeatAllowance retryAllowance;
    KnowledgeLimits stalenessLimits;
    /** Origin of the attempts' identifiers; distinguishes the node's incarnation. */
    std::uint64_t origin = 0;
    /** Seed of all random choices. */
    std::uint64_t seed = 1;
};

/** Requests in a table, and what is done with them at each event and tick. Reads no clock and does no I/O. */
class RelaySystem
{
public:
    explicit RelaySystem(RelaySystemSettings settings);

    /** Takes a configuration that was the newest one at some moment not before asOf. */
    void applyConfiguration(const SiteConfigurationPtr &configuration, TimePoint asOf, RelayCommands &commands);

    /** Takes the list of registered upstreams, which was true at some moment not before asOf. */
    void updateUpstreams(const std::vector<UpstreamEntry> &list,
                         TimePoint asOf,
                         TimePoint now,
                         RelayCommands &commands);

    void registryReadFailed() { directory_.readFailed(); }

    /** Takes the whole list of relays. */
    void updateNodes(const std::vector<PeerNode> &nodes);

    /** Takes the report of another relay. */
    void peerReportReceived(const PeerReport &report, TimePoint now);

    /** What this relay tells another. */
    PeerReport reportFor(const NodeName &peer, TimePoint now);

    const PeerView &peers() const { return peers_; }

    /** Reports of work to send; to be called once a WorkReportPeriod. */
    std::vector<OutgoingWorkReport> reportWork(TimePoint now);

    /** The node to which reports of work go now; nullptr if there is none. */
    const PeerNode *workCollector(TimePoint now) const { return work_.collector(now); }

    /** Takes another relay's report of work; the answer to it, if it asks for one. */
    std::optional<WorkTotals> workReportReceived(const WorkReport &report, TimePoint now);

    /** Takes the answer to a report of work. */
    void workTotalsReceived(const WorkTotals &totals, TimePoint now);

    /** Every request that arrives from now on is refused: the node ends before it could be answered. */
    void startDraining() { refusesNew_ = true; }

    void arrived(const RelayRequest &request, TimePoint now, RelayCommands &commands);
    void callerGone(const RequestId &request, TimePoint now, RelayCommands &commands);
    void headArrived(const RelayResponseHead &head, TimePoint now, RelayCommands &commands);
    void progressed(const RelayProgress &progress, TimePoint now);
    void ended(const RelayEnd &end, TimePoint now, RelayCommands &commands);
    void probed(const RelayProbeResult &result, TimePoint now, RelayCommands &commands);
    void failed(const RelayFailure &failure, TimePoint now, RelayCommands &commands);

    /** To be called every few hundredths of a second while there are requests. */
    void tick(TimePoint now, RelayCommands &commands);

    /** True until the request has its final answer. */
    bool knows(const RequestId &request) const { return rows_.contains(request); }

    /** Takes changed limits. */
    void setLimits(const RepeatAllowance &retryAllowance, const KnowledgeLimits &stalenessLimits);

    /** Requests without a final answer. */
    std::size_t inFlight() const { return rows_.size(); }

    /** True if the node can take requests: it knows a configuration and a list of upstreams. */
    bool ready() const { return configuration_.table() != nullptr && directory_.known(); }

    const ConfigurationKeeper &configuration() const { return configuration_; }
    const UpstreamDirectory &directory() const { return directory_; }

    /** Figures of the requests that have ended since the last call. */
    std::vector<RelayRequestMetrics> takeRequestMetrics();

private:
    void noteChanges(const DirectoryChanges &changes, RelayCommands &commands);
    RelayRow *rowOf(const AttemptId &attempt);
    /** Sends the request to an upstream, or lets it wait, or gives it up. */
    void place(RelayRow &row, TimePoint now, RelayCommands &commands);
    bool tryPlace(RelayRow &row, TimePoint now, RelayCommands &commands);
    void dispatch(RelayRow &row, const Placement &placement, TimePoint now, RelayCommands &commands);
    void wait(RelayRow &row, TimePoint now, RelayCommands &commands);
    /** Takes the request out of the line in which it waits. */
    void leaveLine(RelayRow &row);
    void serveQueue(const WaitingLine &line, TimePoint now, RelayCommands &commands);
    /** Frees the attempt's place; the row has no attempt afterwards. */
    void endAttempt(RelayRow &row);
    /** Tries another upstream if the request may run again and the budget allows it; else gives the request up. */
    void retry(RelayRow &row, ResultCode cause, TimePoint now, RelayCommands &commands);
    bool mayRetry(const RelayRow &row, TimePoint now);
    void giveUp(RelayRow &row, ResultCode code, TimePoint now, RelayCommands &commands);
    void finish(RelayRow &row, Outcome outcome, ResultCode code, TimePoint now, RelayCommands &commands);
    void checkRunning(RelayRow &row, TimePoint now, RelayCommands &commands);
    ReturnTime &returnTimeOf(const RelayRow &row);
    RelayBudget &budgetOf(const PoolName &pool);

    RelaySystemSettings settings_;
    ConfigurationKeeper configuration_;
    UpstreamDirectory directory_;
    PeerView peers_;
    WorkExchange work_;
    RelayPlacement placement_;
    std::map<WaitingLine, ReturnTime> returnTimes_;
    RandomSource random_;
    Table<RequestId, RelayRow> rows_;
    std::map<AttemptId, RequestId> attempts_;
    std::map<WaitingLine, RelayQueue> queues_;
    std::map<PoolName, RelayBudget> budgets_;
    std::vector<RelayRequestMetrics> measured_;
    std::uint64_t lastAttempt_ = 0;
    bool refusesNew_ = false;
    std::uint64_t lastReport_ = 0;
};

} // namespace GeraniumLever
