/** Decides how each relayed request is handled. */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <vector>

#include "servers/relay/crash_system.h"
#include "servers/relay/fleet_state.h"
#include "servers/relay/limit_system.h"
#include "servers/relay/relay_admission.h"
#include "servers/relay/relay_attempts.h"
#include "servers/relay/relay_placement.h"
#include "servers/relay/relay_queue.h"
#include "servers/relay/retry_after_estimator.h"
#include "servers/relay/retry_budgets.h"
#include "servers/relay/stream_locator.h"
#include "servers/relay/work_exchange.h"

namespace GeraniumLever {

struct RelaySystemSettings
{
    NodeName node;
    DataCenterName dataCenter;
    RetryAllowance retryAllowance;
    StalenessLimits stalenessLimits;
    /** Interval at which upstreams renew their registration; 0 if not known. */
    Duration upstreamHeartbeat { 0 };
    /** True if no node has run before this one and those that start together with it. */
    bool isFirstStart = false;
    /** Origin of the attempts' identifiers; unique per incarnation of the node. */
    std::uint64_t origin = 0;
    /** Seed of all random choices. */
    std::uint64_t seed = 1;
};

/** State machine for all relayed requests, driven by events and ticks. Reads no clock and does no I/O. */
class RelaySystem
{
public:
    explicit RelaySystem(RelaySystemSettings settings);

    /** Applies a configuration that was read at some time not before asOf. */
    void applyConfiguration(const StoredConfiguration &stored, TimePoint asOf, TimePoint now, RelayCommands &commands);

    /** Applies the complete list of registered upstreams, which was current at some time not before asOf. */
    void updateUpstreams(const StoredUpstreams &stored, TimePoint asOf, TimePoint now, RelayCommands &commands);

    void registryReadFailed() { fleet_.registryReadFailed(); }

    /** Applies the complete list of registered relays, which was current at some time not before asOf. */
    void updateNodes(const StoredNodes &stored, TimePoint asOf, TimePoint now, RelayCommands &commands);

    /** Records that the store confirmed this node's entry. */
    void nodeRegistered(const StoreState &state, TimePoint now) { fleet_.noteRegistered(state, now); }

    /** Handles the report of another relay. */
    void peerReportReceived(const PeerReport &report, TimePoint now, RelayCommands &commands);

    /** The report to send to another relay. */
    PeerReport reportFor(const NodeName &peer, TimePoint now) { return fleet_.reportFor(peer, now); }

    /** Work reports to send; to be called once per WorkReportPeriod. */
    std::vector<OutgoingWorkReport> reportWork(TimePoint now);

    /** The node that work reports currently go to; nullptr if there is none. */
    const PeerNode *workCollector(TimePoint now) const { return workExchange_.collector(now); }

    /** Handles another relay's work report; returns the answer if the report requires one. */
    std::optional<WorkTotals> workReportReceived(const WorkReport &report, TimePoint now);

    /** Handles the answer to a work report. */
    void workTotalsReceived(const WorkTotals &totals, TimePoint now);

    void streamRecordReceived(const StreamRecord &record, TimePoint now) { locator_.receive(record, now); }
    StreamReply answerStreamQuery(const StreamQuery &query, TimePoint now) const { return locator_.answer(query, now); }
    void streamReplyReceived(const StreamReply &reply, TimePoint now, RelayCommands &commands);

    /** Handles the notes on versions, which were read by a call that was sent at asOf. */
    void versionNotesRead(const StoredVersionNotes &stored, TimePoint asOf, TimePoint now, RelayCommands &commands);

    /** Handles what the store keeps of all nodes' streams, which was read by a call that was sent at asOf. */
    void storedOriginsRead(const StoredOrigins &stored, TimePoint asOf, TimePoint now, RelayCommands &commands);

    void originReportReceived(const OriginReport &report, TimePoint now) { locator_.keeper().receive(report, now); }

    /** The row of origins that this node must write to the store now. */
    std::optional<StoredOriginRow> takeOriginRow(TimePoint now) { return locator_.keeper().takeRow(now); }

    /** Records that the row that was taken last has been written, or may not have been. */
    void originRowStored() { locator_.keeper().noteStored(); }
    void originRowFailed() { locator_.keeper().noteFailed(); }

    /** Handles what another relay knows about crashes. */
    void crashReportReceived(const CrashReport &report, TimePoint now) { crashes_.reportReceived(report, now); }

    /** What to tell other relays about crashes once a second; absent if there is nothing to tell. */
    std::optional<CrashReport> crashReport(TimePoint now) const { return crashes_.report(now); }

    /** Adopts the quarantined parts that the store knows; returns what this node should change there. */
    QuarantineUpdate reconcileQuarantine(const StoredQuarantine &stored, TimePoint now)
    {
        return crashes_.reconcile(stored, now);
    }

    const PromptQuarantine &quarantine() const { return crashes_.quarantine(); }

    /** Handles what another relay knows about the limits of upstreams. */
    void limitReportReceived(const LimitReport &report, TimePoint now, RelayCommands &commands)
    {
        limits_.reportReceived(report, now, commands);
    }

    /** What to tell other relays about the limits of upstreams once a second; absent if there is nothing to tell. */
    std::optional<LimitReport> limitReport(TimePoint now) { return limits_.report(now); }

    /** Rejects all new requests from now on, because the node shuts down before it could answer them. */
    void startDraining() { draining_ = true; }

    void arrived(const RelayRequest &request, TimePoint now, RelayCommands &commands);
    void callerGone(const RequestId &request, TimePoint now, RelayCommands &commands);
    /** Handles that the caller has left too much of its response unread, or has caught up. */
    void callerBacklogged(const RequestId &request, bool backlogged, TimePoint now, RelayCommands &commands);
    void noticeArrived(const UpstreamNotice &notice, TimePoint now, RelayCommands &commands);
    void headArrived(const RelayResponseHead &head, TimePoint now, RelayCommands &commands);
    void progressed(const RelayProgress &progress, TimePoint now, RelayCommands &commands);
    void ended(const RelayCompleted &end, TimePoint now, RelayCommands &commands);
    void probed(const RelayProbeResult &result, TimePoint now, RelayCommands &commands);
    void failed(const RelayFailure &failure, TimePoint now, RelayCommands &commands);

    /** To be called every few tens of milliseconds while there are requests. */
    void tick(TimePoint now, RelayCommands &commands);

    /** True until the request has its final response. */
    bool knows(const RequestId &request) const { return rows_.contains(request); }

    /** Applies changed limits. */
    void setLimits(const RetryAllowance &retries, const StalenessLimits &staleness);

    /** Number of requests without a final response. */
    std::size_t inFlight() const { return rows_.size(); }

    /** What the node knows about the store, the configuration, the upstreams and the other nodes. */
    const FleetState &fleet() const { return fleet_; }

    /** Returns and clears the metrics of requests that have finished since the last call. */
    std::vector<RelayRequestMetrics> takeRequestMetrics();

private:
    void handleDirectoryChanges(const DirectoryChanges &changes, TimePoint now, RelayCommands &commands);
    RelayRow *rowOf(const AttemptId &attempt);
    /** The row of an attempt from whose upstream something has arrived. If it was on standby, it changes places with
     *  the row's current one. */
    RelayRow *respondingRow(const AttemptId &attempt, TimePoint now, RelayCommands &commands);
    /** Finds out which version began the stream that the request takes up. */
    void locateStream(RelayRow &row, TimePoint now, RelayCommands &commands);
    /** Goes on with the requests whose streams have been located, or are known not to be. */
    void handleLocatedStreams(TimePoint now, RelayCommands &commands);
    void continueStream(RelayRow &row, const StreamOrigin &origin, TimePoint now, RelayCommands &commands);
    void refuseUnknownStream(RelayRow &row, TimePoint now, RelayCommands &commands);
    void admit(RelayRow &row, TimePoint now, RelayCommands &commands);
    /** Why the request may not be sent to any upstream; absent if it may. Some time can have passed since it was
     *  admitted, all the more if the process was paused. */
    std::optional<GiveUpReason> obstacleOf(const RelayRow &row, TimePoint now) const;
    /** Sends the request to an upstream, queues it, or gives it up. */
    void place(RelayRow &row, TimePoint now, RelayCommands &commands);
    bool tryPlace(RelayRow &row, TimePoint now, RelayCommands &commands);
    void dispatch(RelayRow &row, const Placement &placement, TimePoint now, RelayCommands &commands);
    void enqueue(RelayRow &row, TimePoint now, RelayCommands &commands);
    /** Gives up the waiting requests of the pool that no upstream will accept in time. */
    void refusePaused(const PoolName &pool, TimePoint now, RelayCommands &commands);
    /** Removes the request from its queue. */
    void leaveQueue(RelayRow &row);
    void serveQueue(const QueueKey &queueKey, TimePoint now, RelayCommands &commands);
    /** Tries another upstream if the request may run again and the retry budget allows it; otherwise gives the request
     *  up. */
    void retry(RelayRow &row, ResultCode cause, TimePoint now, RelayCommands &commands);
    /** True if the request may be sent again even if it has run, and the retry budget pays for it. */
    bool mayRetry(const RelayRow &row, TimePoint now);
    /** Records what the failure says about the attempt's upstream. */
    void noteFailure(const RelayRow &row, const RelayFailure &failure, TimePoint now);
    void giveUp(RelayRow &row, GiveUpReason reason, TimePoint now, RelayCommands &commands);
    /** Time after which the caller of a refused request should come back. */
    Duration retryAfterOf(const RelayRow &row, ResultCode code, TimePoint now);
    void finish(RelayRow &row, Outcome outcome, ResultCode code, TimePoint now, RelayCommands &commands);
    void checkTimeouts(RelayRow &row, TimePoint now, RelayCommands &commands);
    /** Sends the request of a silent attempt to another upstream if it can begin there now. The attempt goes on until
     * it has begun there. */
    void takeOver(RelayRow &row, TimePoint now, RelayCommands &commands);
    /** Takes over silent attempts before the requests that wait in the queue are served. */
    void takeOverSilent(const QueueKey &queueKey, TimePoint now, RelayCommands &commands);
    RetryAfterEstimator &retryAfterEstimatorOf(const RelayRow &row);

    RelaySystemSettings settings_;
    FleetState fleet_;
    WorkExchange workExchange_;
    RelayPlacement placement_;
    LimitSystem limits_;
    StreamLocator locator_;
    CrashSystem crashes_;
    std::map<QueueKey, RetryAfterEstimator> retryAfterEstimators_;
    RandomSource random_;
    Table<RequestId, RelayRow> rows_;
    RelayAttempts attempts_;
    std::map<QueueKey, RelayQueue> queues_;
    /** Requests whose upstream was silent when they were last checked. */
    std::set<RequestId> silent_;
    RetryBudgets budgets_;
    std::vector<RelayRequestMetrics> requestMetrics_;
    bool draining_ = false;
};

} // namespace GeraniumLever
