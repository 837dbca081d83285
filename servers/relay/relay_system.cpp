#include "servers/relay/relay_system.h"

#include <algorithm>
#include <utility>

#include "servers/relay/relay_records.h"
#include "servers/relay/retry_rules.h"

namespace GeraniumLever {

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpRedirection = 300;
constexpr unsigned HttpServerError = 500;
/** Share of the target for which a request may wait for capacity; after a longer wait it would hardly be answered in
 *  time. */
constexpr double MaxWaitShareOfTarget = 0.25;
/** Maximum number of requests that may wait in one queue at one node. */
constexpr std::size_t MaxWaiting = 400;
/** Number of waiting requests that are tried per pass, so that one that waits for certain engines does not block those
 *  behind it. */
constexpr std::size_t MaxPlacementAttempts = 6;
/** Another node accepts the request immediately; the delay only keeps callers from returning at the same moment. */
constexpr Duration DrainingRetryAfter = std::chrono::milliseconds(100);
/** Another node may know the origin, or this one once it reaches the others again. */
constexpr Duration StreamOriginRetryAfter = std::chrono::milliseconds(300);
/** Spreads the return of callers after a pause of all upstreams. */
constexpr Duration PauseEndSpread = std::chrono::milliseconds(200);

} // namespace

RelaySystem::RelaySystem(RelaySystemSettings settings)
    : settings_(std::move(settings))
    , fleet_(settings_.node, settings_.origin, settings_.upstreamHeartbeat, settings_.isFirstStart)
    , workExchange_(settings_.node, settings_.dataCenter, settings_.origin)
    , placement_(settings_.dataCenter, fleet_, settings_.seed + 2)
    , limits_(settings_.node, fleet_, placement_)
    , locator_(settings_.node, settings_.dataCenter, settings_.origin, fleet_)
    , crashes_(settings_.node, fleet_, placement_, settings_.seed + 3)
    , random_(settings_.seed + 1)
    , attempts_(settings_.origin, placement_)
    , budgets_(settings_.retryAllowance)
{
}

// Configuration and fleet state.

void RelaySystem::applyConfiguration(const StoredConfiguration &stored,
                                     TimePoint asOf,
                                     TimePoint now,
                                     RelayCommands &commands)
{
    fleet_.applyConfiguration(stored, asOf, now, commands);
}

void RelaySystem::updateUpstreams(const StoredUpstreams &stored, TimePoint asOf, TimePoint now, RelayCommands &commands)
{
    handleDirectoryChanges(fleet_.updateUpstreams(stored, asOf, now, commands), now, commands);
    for (auto &[queueKey, queue] : queues_) {
        serveQueue(queueKey, now, commands);
    }
}

void RelaySystem::handleDirectoryChanges(const DirectoryChanges &changes, TimePoint now, RelayCommands &commands)
{
    if (changes.empty()) {
        return;
    }
    placement_.applyChanges(fleet_.directory(), changes);
    crashes_.upstreamsLost(changes.lost, now);
    for (Decision &decision : recordDirectoryChanges(changes)) {
        commands.emplace_back(std::move(decision));
    }
}

void RelaySystem::updateNodes(const StoredNodes &stored, TimePoint asOf, TimePoint now, RelayCommands &commands)
{
    if (!fleet_.updateNodes(stored, asOf, now, commands)) {
        return;
    }
    workExchange_.updateNodes(fleet_.nodes().nodes());
    locator_.updateNodes(fleet_.nodes().nodes());
    budgets_.setNodes(fleet_.nodes().sharingNodes());
}

void RelaySystem::peerReportReceived(const PeerReport &report, TimePoint now, RelayCommands &commands)
{
    fleet_.receive(report, now, commands);
    budgets_.setNodes(fleet_.nodes().sharingNodes());
}

std::vector<OutgoingWorkReport> RelaySystem::reportWork(TimePoint now)
{
    std::vector<OutgoingWorkReport> messages = workExchange_.report(placement_.ownWork(now), now);
    const std::optional<WorkAccount> others = workExchange_.totalsIfCollector();
    if (others.has_value()) {
        placement_.updateOthers(fleet_.directory(), *others, now);
    }
    return messages;
}

std::optional<WorkTotals> RelaySystem::workReportReceived(const WorkReport &report, TimePoint now)
{
    std::optional<WorkTotals> totals = workExchange_.receive(report, now);
    if (totals.has_value()) {
        totals->storedOrigins = locator_.keeper().storedSequence(report.node, report.incarnation);
    }
    return totals;
}

void RelaySystem::workTotalsReceived(const WorkTotals &totals, TimePoint now)
{
    locator_.keeper().noteReportStored(totals.storedOrigins);
    if (workExchange_.receive(totals)) {
        placement_.updateOthers(fleet_.directory(), totals.others, now);
    }
}

// Requests.

void RelaySystem::arrived(const RelayRequest &request, TimePoint now, RelayCommands &commands)
{
    Result<RelayRow> admitted = draining_
        ? Result<RelayRow>(Error { ResultCode::NotReady, "the node is shutting down", DrainingRetryAfter })
        : admitRelayRequest(request, fleet_.configuration(), settings_.stalenessLimits, random_.fraction(), now);
    if (!succeeded(admitted)) {
        const Error &error = errorOf(admitted);
        commands.emplace_back(recordReject(request, error, fleet_.configuration(), now));
        requestMetrics_.push_back({ 0, Outcome::NotRun, error.code, std::nullopt, Duration(0), 0 });
        commands.emplace_back(RelayRefusal { request.request, error, Outcome::NotRun });
        return;
    }
    RelayRow &row = rows_.put(request.request, std::move(std::get<RelayRow>(admitted)));
    row.queueKey.pool = row.pool;
    if (row.takesUpStream()) {
        locateStream(row, now, commands);
        return;
    }
    admit(row, now, commands);
}

void RelaySystem::admit(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    row.queueKey = { row.pool, placement_.usesOwnQueue(placementQueryOf(row), now) };
    budgets_.of(row.pool).noteRequest(now);
    limits_.requestArrived(row, now);
    place(row, now, commands);
}

void RelaySystem::callerGone(const RequestId &request, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = rows_.edit(request);
    if (row == nullptr) {
        return;
    }
    row->callerGone = true;
    const bool letFinish = row->hasUpstream() && !row->isRetryable() && !row->route->streamed;
    if (letFinish) {
        return;
    }
    if (row->phase == RelayPhase::Waiting) {
        leaveQueue(*row);
    } else if (row->hasUpstream()) {
        row->mayHaveRun = true;
        attempts_.cancel(*row, commands);
    }
    const QueueKey queueKey = row->queueKey;
    finish(*row, row->mayHaveRun ? Outcome::Failed : Outcome::NotRun, ResultCode::CallerGone, now, commands);
    serveQueue(queueKey, now, commands);
}

void RelaySystem::callerBacklogged(const RequestId &request, bool backlogged, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = rows_.edit(request);
    if (row != nullptr) {
        RelayAttempts::setCallerBacklogged(*row, backlogged, now, commands);
    }
}

std::optional<GiveUpReason> RelaySystem::obstacleOf(const RelayRow &row, TimePoint now) const
{
    if (crashes_.blockedFor(row, now) > Duration(0)) {
        return GiveUpReason::Quarantined;
    }
    if (now >= row.deadline) {
        return GiveUpReason::Deadline;
    }
    if (row.phase == RelayPhase::Waiting && now >= row.waitUntil) {
        return GiveUpReason::WaitTimeout;
    }
    const Duration keyAge = fleet_.configuration().age(now).value_or(Duration::max());
    if (!row.mayHaveRun && !row.team.empty() && keyAge > settings_.stalenessLimits.keyLifetime) {
        return GiveUpReason::ConfigurationOutdated;
    }
    return std::nullopt;
}

void RelaySystem::place(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    const std::optional<GiveUpReason> obstacle = obstacleOf(row, now);
    if (obstacle.has_value()) {
        giveUp(row, *obstacle, now, commands);
        return;
    }
    if (queues_[row.queueKey].maxAhead(row.tier) == 0 && tryPlace(row, now, commands)) {
        return;
    }
    enqueue(row, now, commands);
}

bool RelaySystem::tryPlace(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    const PlacementQuery query = placementQueryOf(row);
    if (!limits_.admits(row, query, now)) {
        return false;
    }
    const std::optional<Placement> placement = placement_.choose(fleet_.directory(), query, now);
    if (!placement.has_value()) {
        return false;
    }
    dispatch(row, *placement, now, commands);
    return true;
}

void RelaySystem::dispatch(RelayRow &row, const Placement &placement, TimePoint now, RelayCommands &commands)
{
    const bool resumes = row.phase == RelayPhase::Answering || row.firstByte.has_value();
    row.phase = resumes ? RelayPhase::Answering : RelayPhase::Sent;
    attempts_.start(row, placement, now);
    crashes_.requestSent(row, now);
    limits_.requestSent(row, now);

    commands.emplace_back(recordDispatch(row, placement, now));
    commands.emplace_back(dispatchOf(row, now));
}

void RelaySystem::enqueue(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    const std::optional<double> utilization = placement_.seatUtilization(fleet_.directory(), row.pool, now);
    RelayQueue &queue = queues_[row.queueKey];
    if (!utilization.has_value() && !row.firstByte.has_value()) {
        giveUp(row, GiveUpReason::NoUpstream, now, commands);
        return;
    }
    if (row.streamVersion.has_value() && !placement_.hasUpstream(fleet_.directory(), placementQueryOf(row))) {
        giveUp(row, GiveUpReason::NoUpstream, now, commands);
        return;
    }
    if (queue.size() >= MaxWaiting) {
        giveUp(row, GiveUpReason::QueueFull, now, commands);
        return;
    }
    const Duration maxWait = row.firstByte.has_value()
        ? resumeTimeoutOf(row)
        : std::chrono::duration_cast<Duration>(row.route->target * MaxWaitShareOfTarget);
    const std::size_t ahead = queue.estimateAhead(row.tier, row.team);
    if (ahead > 0 && retryAfterEstimatorOf(row).expectedWait(ahead) > maxWait) {
        giveUp(row, GiveUpReason::NoCapacity, now, commands);
        return;
    }
    const TimePoint waitUntil = std::min(row.deadline, now + maxWait);
    const std::optional<GiveUpReason> blocked =
        placement_.blockedUntil(fleet_.directory(), placementQueryOf(row), waitUntil, ahead, now);
    if (blocked.has_value()) {
        giveUp(row, *blocked, now, commands);
        return;
    }
    row.phase = RelayPhase::Waiting;
    row.waitSince = now;
    row.waitUntil = waitUntil;
    queue.push(row.tier, row.team, row.request.request);
    row.awaitedEngine = placement_.preferredEngine(fleet_.directory(), placementQueryOf(row), now);
    if (!row.awaitedEngine.empty()) {
        placement_.load(row.awaitedEngine).noteWaiting(true);
    }
    commands.emplace_back(recordWait(row, ahead, utilization.value_or(0.0)));
}

void RelaySystem::refusePaused(const PoolName &pool, TimePoint now, RelayCommands &commands)
{
    std::vector<RequestId> paused;
    for (const auto &[request, row] : rows_) {
        if (row.phase == RelayPhase::Waiting && row.pool == pool
            && placement_.blockedUntil(fleet_.directory(), placementQueryOf(row), row.waitUntil, 0, now)) {
            paused.push_back(request);
        }
    }
    for (const RequestId &request : paused) {
        RelayRow &row = *rows_.edit(request);
        leaveQueue(row);
        giveUp(row, GiveUpReason::UpstreamsPaused, now, commands);
    }
}

void RelaySystem::leaveQueue(RelayRow &row)
{
    queues_[row.queueKey].erase(row.tier, row.team, row.request.request);
    if (!row.awaitedEngine.empty()) {
        placement_.load(row.awaitedEngine).noteWaiting(false);
        row.awaitedEngine = UpstreamName();
    }
}

void RelaySystem::serveQueue(const QueueKey &queueKey, TimePoint now, RelayCommands &commands)
{
    const auto found = queues_.find(queueKey);
    if (found == queues_.end()) {
        return;
    }
    takeOverSilent(queueKey, now, commands);
    for (const RequestId &next : found->second.first(MaxPlacementAttempts)) {
        RelayRow &row = *rows_.edit(next);
        const std::optional<GiveUpReason> obstacle = obstacleOf(row, now);
        if (obstacle.has_value()) {
            leaveQueue(row);
            giveUp(row, *obstacle, now, commands);
            continue;
        }
        if (tryPlace(row, now, commands)) {
            retryAfterEstimatorOf(row).noteServed(row.waitSince, now);
            found->second.charge(row.tier, row.team, std::max(1.0, static_cast<double>(row.tokens())));
            leaveQueue(row);
        }
    }
}

// Streams that callers take up again.

void RelaySystem::locateStream(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    row.phase = RelayPhase::Locating;
    locator_.startSearch(row, now, commands);
    handleLocatedStreams(now, commands);
}

void RelaySystem::streamReplyReceived(const StreamReply &reply, TimePoint now, RelayCommands &commands)
{
    locator_.receive(reply, now, commands);
    handleLocatedStreams(now, commands);
}

void RelaySystem::versionNotesRead(const StoredVersionNotes &stored,
                                   TimePoint asOf,
                                   TimePoint now,
                                   RelayCommands &commands)
{
    if (fleet_.updateVersionNotes(stored, now, commands)) {
        locator_.notesRead(asOf, now, commands);
        handleLocatedStreams(now, commands);
    }
}

void RelaySystem::storedOriginsRead(const StoredOrigins &stored, TimePoint asOf, TimePoint now, RelayCommands &commands)
{
    locator_.storedOriginsRead(stored, asOf, now);
    handleLocatedStreams(now, commands);
}

void RelaySystem::handleLocatedStreams(TimePoint now, RelayCommands &commands)
{
    for (const LocatedStream &located : locator_.takeLocated()) {
        RelayRow *row = rows_.edit(located.request);
        if (row == nullptr) {
            continue;
        }
        commands.emplace_back(recordTakeUp(*row, located));
        if (located.origin.has_value()) {
            continueStream(*row, *located.origin, now, commands);
        } else {
            refuseUnknownStream(*row, now, commands);
        }
    }
}

void RelaySystem::continueStream(RelayRow &row, const StreamOrigin &origin, TimePoint now, RelayCommands &commands)
{
    const std::vector<PoolShare> &pools = row.route->pools;
    const bool isAllowed = std::any_of(
        pools.begin(), pools.end(), [&origin](const PoolShare &share) { return share.pool == origin.pool; });
    if (!isAllowed) {
        giveUp(row, GiveUpReason::NoUpstream, now, commands);
        return;
    }
    row.pool = origin.pool;
    row.traits = row.table->pool(row.pool);
    row.streamVersion = origin.version;
    admit(row, now, commands);
}

void RelaySystem::refuseUnknownStream(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    const RequestId request = row.request.request;
    finish(row, Outcome::NotRun, ResultCode::StreamOriginUnknown, now, commands);
    const Error error { ResultCode::StreamOriginUnknown,
                        "it is not known which version began the stream",
                        StreamOriginRetryAfter };
    commands.emplace_back(RelayRefusal { request, error, Outcome::NotRun });
}

// Attempts.

void RelaySystem::noticeArrived(const UpstreamNotice &notice, TimePoint now, RelayCommands &commands)
{
    const RelayRow *row = rowOf(notice.attempt);
    if (row == nullptr) {
        return;
    }
    if (!fleet_.noteNotice(row->upstreamOf(notice.attempt), notice, now)) {
        return;
    }
    commands.emplace_back(recordNotice(*row, notice));
    refusePaused(row->pool, now, commands);
}

void RelaySystem::headArrived(const RelayResponseHead &head, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = respondingRow(head.attempt, now, commands);
    if (row == nullptr) {
        return;
    }
    limits_.answered(row->upstream.name, head.requestLimit, row->dispatchedAt, now, commands);
    crashes_.responded(*row, now);
    UpstreamLoad &load = placement_.load(row->upstream.name);
    if (head.load.has_value()) {
        load.updateReported(*head.load, now);
    }
    if (head.notRun) {
        load.noteFull(now);
        row->failedUpstreams.insert(row->upstream.name);
        attempts_.cancel(*row, commands);
        retry(*row, ResultCode::UpstreamFull, now, commands);
        return;
    }
    const bool continues = head.status == HttpOk && head.resumable;
    if (head.status >= HttpServerError || (row->firstByte.has_value() && !continues)) {
        load.noteFailed(now);
        row->failedUpstreams.insert(row->upstream.name);
        const bool hasOther = placement_.hasUpstream(fleet_.directory(), newUpstreamQueryOf(*row));
        if (row->firstByte.has_value() || row->standby.has_value() || (hasOther && mayRetry(*row, now))) {
            row->mayHaveRun = true;
            attempts_.cancel(*row, commands);
            retry(*row, ResultCode::UpstreamFailed, now, commands);
            return;
        }
    } else {
        load.noteAnswered(now);
    }
    load.noteRead(std::exchange(row->unreadTokens, 0));
    attempts_.cancelStandby(*row, commands);
    row->phase = RelayPhase::Answering;
    row->progressAt = now;
    row->isSilent = false;
    row->resumable = head.resumable;
    if (head.resumable && !row->firstByte.has_value()) {
        row->streamVersion = row->upstreamVersion;
        locator_.shareOrigin(*row, now, commands);
    }
    row->framing = head.framing;
    row->succeeded = head.status >= HttpOk && head.status < HttpRedirection;
    row->connectionReused = head.connectionReused;
    if (!row->firstByte.has_value()) {
        row->firstByte = now - row->arrivedAt;
    }
    commands.emplace_back(RelayForward { head.attempt });
}

void RelaySystem::progressed(const RelayProgress &progress, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = rowOf(progress.attempt);
    if (row != nullptr) {
        attempts_.noteProgress(*row, progress, now, commands);
    }
}

void RelaySystem::ended(const RelayCompleted &end, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = respondingRow(end.attempt, now, commands);
    if (row == nullptr) {
        return;
    }
    crashes_.answered(*row, now);
    const QueueKey queueKey = row->queueKey;
    attempts_.end(*row);
    finish(*row, Outcome::Answered, ResultCode::Ok, now, commands);
    serveQueue(queueKey, now, commands);
}

void RelaySystem::failed(const RelayFailure &failure, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = rowOf(failure.attempt);
    if (row == nullptr) {
        return;
    }
    const QueueKey queueKey = row->queueKey;
    noteFailure(*row, failure, now);
    row->failedUpstreams.insert(row->upstreamOf(failure.attempt).name);
    if (row->isOnStandby(failure.attempt)) {
        attempts_.endStandby(*row);
        return;
    }
    if (failure.kind == RelayFailure::Kind::NotConnected) {
        attempts_.endUnsent(*row);
        retry(*row, ResultCode::UpstreamRefused, now, commands);
    } else {
        attempts_.end(*row);
        row->mayHaveRun = true;
        const bool garbled = failure.kind == RelayFailure::Kind::InvalidResponse;
        retry(*row, garbled ? ResultCode::CrossedAnswer : ResultCode::UpstreamLost, now, commands);
    }
    serveQueue(queueKey, now, commands);
}

void RelaySystem::noteFailure(const RelayRow &row, const RelayFailure &failure, TimePoint now)
{
    const UpstreamName &upstream = row.upstreamOf(failure.attempt).name;
    if (failure.kind == RelayFailure::Kind::NotConnected) {
        placement_.load(upstream).noteUnreachable(now);
    } else {
        placement_.load(upstream).noteFailed(now);
    }
    crashes_.failed(row, failure, now);
}

void RelaySystem::probed(const RelayProbeResult &result, TimePoint now, RelayCommands &commands)
{
    placement_.load(result.upstream).noteProbed(result.reached, now);
    crashes_.probed(result, now);
    commands.emplace_back(recordProbe(result));
}

bool RelaySystem::mayRetry(const RelayRow &row, TimePoint now)
{
    return row.isRetryable() && !retryObstacleOf(row, now).has_value() && budgets_.of(row.pool).available(now) >= 1.0;
}

void RelaySystem::retry(RelayRow &row, ResultCode cause, TimePoint now, RelayCommands &commands)
{
    row.lastFailure = cause;
    commands.emplace_back(recordFailedAttempt(row, now));
    if (row.standby.has_value()) {
        RelayAttempts::revive(row, now, commands);
        return;
    }
    // An attempt that never reached an upstream does not count as a retry.
    const bool neverReached = row.attempts == 0;
    std::optional<GiveUpReason> obstacle = retryObstacleOf(row, now);
    if (!obstacle.has_value() && !neverReached && !budgets_.of(row.pool).spend(now)) {
        obstacle = GiveUpReason::NoRetryBudget;
    }
    if (obstacle.has_value()) {
        giveUp(row, *obstacle, now, commands);
        return;
    }
    place(row, now, commands);
}

// Completion.

void RelaySystem::giveUp(RelayRow &row, GiveUpReason reason, TimePoint now, RelayCommands &commands)
{
    const RequestId request = row.request.request;
    const ResultCode code = resultCodeFor(reason, row.lastFailure, row.mayHaveRun);
    row.givenUpFor = reason;
    if (row.firstByte.has_value()) {
        finish(row, Outcome::Failed, code, now, commands);
        commands.emplace_back(RelayAbort { request });
        return;
    }
    if (row.mayHaveRun) {
        const Outcome outcome = row.isRetryable() ? Outcome::Failed : Outcome::Unknown;
        // Status 503 would state that the request has not run.
        const ResultCode final = now >= row.deadline ? ResultCode::UpstreamTimeout : ResultCode::UpstreamLost;
        finish(row, outcome, code, now, commands);
        commands.emplace_back(
            RelayRefusal { request, { final, "the upstream did not answer", std::nullopt }, outcome });
        return;
    }
    const Duration retryAfter =
        code == ResultCode::PromptQuarantined ? crashes_.blockedFor(row, now) : retryAfterOf(row, code, now);
    const ResultCode final = httpStatusFor(code) == httpStatusFor(ResultCode::Shed) ? code : ResultCode::Shed;
    finish(row, Outcome::NotRun, code, now, commands);
    commands.emplace_back(RelayRefusal { request, { final, refusalMessageFor(code), retryAfter }, Outcome::NotRun });
}

Duration RelaySystem::retryAfterOf(const RelayRow &row, ResultCode code, TimePoint now)
{
    const Duration timeLeft = row.deadline - now;
    if (code == ResultCode::UpstreamLimited) {
        return retryAfterEstimatorOf(row).spread(timeLeft);
    }
    const std::size_t ahead = queues_[row.queueKey].maxAhead(row.tier);
    const Duration estimate = retryAfterEstimatorOf(row).retryAfter(ahead, timeLeft);
    const std::optional<TimePoint> pausedUntil = placement_.pausedUntil(fleet_.directory(), placementQueryOf(row), now);
    // A caller that cannot wait so long may still be served by another node, for which other pauses hold.
    if (!pausedUntil.has_value() || *pausedUntil - now >= timeLeft) {
        return estimate;
    }
    const Duration spread(static_cast<Duration::rep>(static_cast<double>(PauseEndSpread.count()) * random_.fraction()));
    return *pausedUntil - now + spread;
}

void RelaySystem::finish(RelayRow &row, Outcome outcome, ResultCode code, TimePoint now, RelayCommands &commands)
{
    attempts_.cancelStandby(row, commands);
    commands.emplace_back(recordFinish(row, outcome, code, now));
    requestMetrics_.push_back(
        { row.tier, outcome, code, row.firstByte, now - row.arrivedAt, row.attempts, row.givenUpFor });
    if (outcome == Outcome::Answered && row.streamVersion.has_value()) {
        locator_.streamCompleted(row);
    }
    rows_.erase(RequestId(row.request.request));
}

// Timeouts.

void RelaySystem::tick(TimePoint now, RelayCommands &commands)
{
    handleDirectoryChanges(fleet_.expire(now), now, commands);
    std::vector<RequestId> due;
    for (const auto &[request, row] : rows_) {
        if (mayBeDue(row, now)) {
            due.push_back(request);
        }
    }
    for (const RequestId &request : due) {
        RelayRow *row = rows_.edit(request);
        if (row == nullptr) {
            continue;
        }
        if (row->hasUpstream()) {
            checkTimeouts(*row, now, commands);
            continue;
        }
        if (row->phase == RelayPhase::Locating) {
            refuseUnknownStream(*row, now, commands);
            continue;
        }
        leaveQueue(*row);
        giveUp(*row, now >= row->deadline ? GiveUpReason::Deadline : GiveUpReason::WaitTimeout, now, commands);
    }
    locator_.tick(workExchange_.collector(now), now, commands);
    handleLocatedStreams(now, commands);
    crashes_.tick(now, commands);
    limits_.tick(now, commands);
    for (RelayProbe &probe : placement_.startDueProbes(fleet_.directory(), now)) {
        commands.emplace_back(std::move(probe));
    }
    for (auto &[queueKey, queue] : queues_) {
        serveQueue(queueKey, now, commands);
    }
}

void RelaySystem::checkTimeouts(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    if (now >= row.deadline) {
        row.mayHaveRun = true;
        row.lastFailure = ResultCode::UpstreamTimeout;
        attempts_.cancel(row, commands);
        giveUp(row, GiveUpReason::Deadline, now, commands);
        return;
    }
    if (row.standby.has_value() && now >= row.standby->endsAt) {
        attempts_.cancelStandby(row, commands);
    }
    if (now - row.progressAt < silenceLimitOf(row) || !mayUseNewUpstream(row)
        || retryObstacleOf(row, now).has_value()) {
        return;
    }
    if (!std::exchange(row.isSilent, true)) {
        placement_.load(row.upstream.name).noteFailed(now);
        commands.emplace_back(recordSilence(row, now));
    }
    silent_.insert(row.request.request);
}

void RelaySystem::takeOverSilent(const QueueKey &queueKey, TimePoint now, RelayCommands &commands)
{
    std::size_t tried = 0;
    for (auto next = silent_.begin(); next != silent_.end() && tried < MaxPlacementAttempts;) {
        RelayRow *row = rows_.edit(*next);
        const bool isSilent = row != nullptr && row->hasUpstream() && row->isSilent;
        if (isSilent && row->queueKey == queueKey) {
            ++tried;
            takeOver(*row, now, commands);
        }
        next = isSilent ? std::next(next) : silent_.erase(next);
    }
}

void RelaySystem::takeOver(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    const bool isPreceded = row.tier > 0 && queues_[row.queueKey].maxAhead(row.tier - 1) > 0;
    const bool isPaidFor = budgets_.of(row.pool).canSpare(now);
    if (isPreceded || !isPaidFor || obstacleOf(row, now).has_value() || !mayRetry(row, now)) {
        return;
    }
    const PlacementQuery query = takeoverQueryOf(row, now);
    if (!limits_.admits(row, query, now)) {
        return;
    }
    const std::optional<Placement> placement = placement_.choose(fleet_.directory(), query, now);
    if (!placement.has_value() || !budgets_.of(row.pool).spend(now)) {
        return;
    }
    row.mayHaveRun = true;
    row.lastFailure = ResultCode::UpstreamTimeout;
    commands.emplace_back(recordFailedAttempt(row, now));
    attempts_.cancelStandby(row, commands);
    RelayAttempts::putOnStandby(row, now + StandbyTime);
    dispatch(row, *placement, now, commands);
}

RelayRow *RelaySystem::rowOf(const AttemptId &attempt)
{
    const std::optional<RequestId> request = attempts_.requestOf(attempt);
    return request.has_value() ? rows_.edit(*request) : nullptr;
}

RelayRow *RelaySystem::respondingRow(const AttemptId &attempt, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = rowOf(attempt);
    if (row != nullptr && row->isOnStandby(attempt)) {
        RelayAttempts::revive(*row, now, commands);
    }
    return row;
}

RetryAfterEstimator &RelaySystem::retryAfterEstimatorOf(const RelayRow &row)
{
    return retryAfterEstimators_.try_emplace(row.queueKey, random_.engine()()).first->second;
}

void RelaySystem::setLimits(const RetryAllowance &retries, const StalenessLimits &staleness)
{
    settings_.retryAllowance = retries;
    settings_.stalenessLimits = staleness;
    budgets_.setAllowance(retries);
}

std::vector<RelayRequestMetrics> RelaySystem::takeRequestMetrics()
{
    return std::exchange(requestMetrics_, {});
}

} // namespace GeraniumLever
