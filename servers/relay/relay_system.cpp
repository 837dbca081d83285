#include "servers/relay/relay_system.h"

#include <algorithm>
#include <utility>

#include "servers/relay/relay_records.h"

namespace GeraniumLever {

namespace {

constexpr unsigned HttpOk = 200;
constexpr unsigned HttpServerError = 500;
/** Connections that may fail before a request is given up; none of them reaches an upstream. */
constexpr std::uint32_t MaxFailedConnects = 3;
/** Share of the target for which a request waits for room; later it would hardly be answered in time. */
constexpr double WaitShareOfTarget = 0.25;
/** A broken stream goes on within this time, or is given up: callers leave after about two seconds without an event. */
constexpr Duration ResumePatience = std::chrono::milliseconds(900);
/** Requests of one pool that may wait at one node. */
constexpr std::size_t MaxWaiting = 400;
/** Waiting requests for which an upstream is sought at a time: one that waits for certain engines does not hold up
 * those behind it. */
constexpr std::size_t MaxTried = 6;
/** Another node takes the request at once; the pause only keeps callers apart. */
constexpr Duration StoppingRetryAfter = std::chrono::milliseconds(100);
/** A repeat needs this much time to be worth its cost. */
constexpr Duration ShortestUsefulTime = std::chrono::milliseconds(60);
/** Without any part of an answer for so many targets, a repeatable request is sent elsewhere. */
constexpr int SilenceTargets = 2;
constexpr Duration ShortestSilence = std::chrono::milliseconds(500);
/** A resumable stream without an event for so many gap targets goes on elsewhere. */
constexpr int SilenceGaps = 4;

PlacementQuestion questionOf(const RelayRow &row)
{
    PlacementQuestion question;
    question.pool = row.pool;
    if (row.traits != nullptr) {
        question.engine = row.traits->engines;
        question.maxConnections = row.traits->maxConnections;
        question.kvCacheTokens = row.traits->kvCacheTokens;
    }
    question.sharesPrefixes = row.route->sharesPrefixes;
    question.target = row.route->target;
    question.pauseTarget = pauseTargetOf(*row.route);
    question.prompt = row.request.prompt;
    question.excluded = row.tried;
    return question;
}

} // namespace

RelaySystem::RelaySystem(RelaySystemSettings settings)
    : settings_(std::move(settings))
    , peers_(settings_.node)
    , work_(settings_.node, settings_.dataCenter, settings_.origin)
    , placement_(settings_.dataCenter, peers_, settings_.seed + 2)
    , random_(settings_.seed + 1)
{
}

// Knowledge.

void RelaySystem::applyConfiguration(const SiteConfigurationPtr &configuration, TimePoint asOf, RelayCommands &commands)
{
    const ConfigurationVersion before = configuration_.version();
    if (!configuration_.learn(configuration, asOf)) {
        return;
    }
    commands.emplace_back(recordConfiguration(*configuration, before));
}

void RelaySystem::updateUpstreams(const std::vector<UpstreamEntry> &list,
                                  TimePoint asOf,
                                  TimePoint now,
                                  RelayCommands &commands)
{
    noteChanges(directory_.learn(list, asOf, now), commands);
    for (auto &[line, queue] : queues_) {
        serveQueue(line, now, commands);
    }
}

void RelaySystem::noteChanges(const DirectoryChanges &changes, RelayCommands &commands)
{
    if (changes.empty()) {
        return;
    }
    placement_.follow(directory_, changes);
    for (Decision &decision : recordChanges(changes)) {
        commands.emplace_back(std::move(decision));
    }
}

void RelaySystem::updateNodes(const std::vector<PeerNode> &nodes)
{
    peers_.updateNodes(nodes);
    work_.updateNodes(nodes);
    for (auto &[pool, budget] : budgets_) {
        budget.setNodes(peers_.nodeCount());
    }
}

void RelaySystem::peerReportReceived(const PeerReport &report, TimePoint now)
{
    if (!peers_.take(report, now) || report.sentAfter == TimePoint() || report.sentAfter > now) {
        return;
    }
    // The peer knew this when it sent the report, which was after sentAfter.
    configuration_.confirm(report.configuration, report.sentAfter - report.configurationAge);
}

PeerReport RelaySystem::reportFor(const NodeName &peer, TimePoint now)
{
    PeerReport report;
    report.node = settings_.node;
    report.incarnation = settings_.origin;
    report.sequence = ++lastReport_;
    report.configuration = configuration_.version();
    report.configurationAge = configuration_.age(now).value_or(Duration(0));
    report.sentAt = now;
    report.sentAfter = peers_.lastSentAt(peer);
    return report;
}

std::vector<OutgoingWorkReport> RelaySystem::reportWork(TimePoint now)
{
    std::vector<OutgoingWorkReport> messages = work_.report(placement_.ownWork(now), now);
    const std::optional<WorkAccount> others = work_.ownTotals();
    if (others.has_value()) {
        placement_.learnOthers(directory_, *others, now);
    }
    return messages;
}

std::optional<WorkTotals> RelaySystem::workReportReceived(const WorkReport &report, TimePoint now)
{
    return work_.take(report, now);
}

void RelaySystem::workTotalsReceived(const WorkTotals &totals, TimePoint now)
{
    if (work_.take(totals)) {
        placement_.learnOthers(directory_, totals.others, now);
    }
}

// Requests.

void RelaySystem::arrived(const RelayRequest &request, TimePoint now, RelayCommands &commands)
{
    Result<RelayRow> admitted = refusesNew_
        ? Result<RelayRow>(Error { ResultCode::NotReady, "the node is stopping", StoppingRetryAfter })
        : admitRelayRequest(request, configuration_, settings_.stalenessLimits, random_.fraction(), now);
    if (!succeeded(admitted)) {
        const Error &error = errorOf(admitted);
        commands.emplace_back(recordReject(request, error, configuration_, now));
        measured_.push_back({ 0, Outcome::NotRun, error.code, std::nullopt, Duration(0), 0 });
        commands.emplace_back(RelayRefusal { request.request, error, Outcome::NotRun });
        return;
    }
    RelayRow &row = rows_.put(request.request, std::move(std::get<RelayRow>(admitted)));
    row.line = { row.pool, placement_.waitsApart(questionOf(row), now) };
    budgetOf(row.pool).noteRequest(now);
    place(row, now, commands);
}

void RelaySystem::callerGone(const RequestId &request, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = rows_.edit(request);
    if (row == nullptr) {
        return;
    }
    row->callerGone = true;
    const bool letFinish = row->phase != RelayPhase::Waiting && !row->isIdempotent() && !row->route->streamed;
    if (letFinish) {
        return;
    }
    if (row->phase == RelayPhase::Waiting) {
        leaveLine(*row);
    } else {
        commands.emplace_back(RelayCancel { row->attempt });
        row->mayHaveRun = true;
        endAttempt(*row);
    }
    const WaitingLine line = row->line;
    finish(*row, row->mayHaveRun ? Outcome::Failed : Outcome::NotRun, ResultCode::CallerGone, now, commands);
    serveQueue(line, now, commands);
}

void RelaySystem::place(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    if (queues_[row.line].ahead(row.tier) == 0 && tryPlace(row, now, commands)) {
        return;
    }
    wait(row, now, commands);
}

bool RelaySystem::tryPlace(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    const PlacementQuestion question = questionOf(row);
    const std::optional<Placement> placement = placement_.choose(directory_, question, now);
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
    row.attempt = AttemptId(settings_.origin, ++lastAttempt_);
    row.upstream = placement.upstream;
    row.dispatchedAt = now;
    row.progressAt = now;
    ++row.attempts;
    attempts_.emplace(row.attempt, row.request.request);
    row.unreadTokens = placement.unreadTokens;
    placement_.load(row.upstream).begin(row.tokens(), row.unreadTokens);
    placement_.noteSent(questionOf(row), row.unreadTokens, now);

    commands.emplace_back(recordDispatch(row, placement, now));
    RelayDispatch command;
    command.request = row.request.request;
    command.attempt = row.attempt;
    command.upstream = placement.upstream;
    command.address = placement.address;
    command.team = row.team;
    command.timeLeft = row.deadline - now;
    command.tier = row.tier;
    command.tierCount = row.table->tierCount();
    command.engine = row.traits != nullptr && row.traits->engines;
    command.streamed = row.route->streamed;
    command.resumable = row.route->resumable;
    command.resumes = resumes;
    command.freshConnection = !row.isIdempotent();
    commands.emplace_back(std::move(command));
}

void RelaySystem::wait(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    const std::optional<double> fill = placement_.fillOf(directory_, row.pool, now);
    RelayQueue &queue = queues_[row.line];
    if (!fill.has_value() && !row.firstByte.has_value()) {
        giveUp(row, ResultCode::NoUpstream, now, commands);
        return;
    }
    if (queue.size() >= MaxWaiting) {
        giveUp(row, ResultCode::QueueFull, now, commands);
        return;
    }
    const Duration patience = row.firstByte.has_value()
        ? ResumePatience
        : std::chrono::duration_cast<Duration>(row.route->target * WaitShareOfTarget);
    const std::size_t ahead = queue.aheadOf(row.tier, row.team);
    if (ahead > 0 && returnTimeOf(row).expectedWait(ahead) > patience) {
        giveUp(row, row.mayHaveRun ? row.cause : ResultCode::Shed, now, commands);
        return;
    }
    row.phase = RelayPhase::Waiting;
    row.waitSince = now;
    row.waitUntil = std::min(row.deadline, now + patience);
    queue.push(row.tier, row.team, row.request.request);
    row.awaited = placement_.awaited(directory_, questionOf(row), now);
    if (!row.awaited.empty()) {
        placement_.load(row.awaited).noteWaiting(true);
    }
    commands.emplace_back(recordWait(row, ahead, fill.value_or(0.0)));
}

void RelaySystem::leaveLine(RelayRow &row)
{
    queues_[row.line].erase(row.tier, row.team, row.request.request);
    if (!row.awaited.empty()) {
        placement_.load(row.awaited).noteWaiting(false);
        row.awaited = UpstreamName();
    }
}

void RelaySystem::serveQueue(const WaitingLine &line, TimePoint now, RelayCommands &commands)
{
    const auto found = queues_.find(line);
    if (found == queues_.end()) {
        return;
    }
    RelayQueue &queue = found->second;
    for (const RequestId &next : queue.first(MaxTried)) {
        RelayRow &row = *rows_.edit(next);
        if (tryPlace(row, now, commands)) {
            returnTimeOf(row).noteServed(row.waitSince, now);
            queue.charge(row.tier, row.team, std::max(1.0, static_cast<double>(row.tokens())));
            leaveLine(row);
        }
    }
}

// Attempts.

void RelaySystem::headArrived(const RelayResponseHead &head, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = rowOf(head.attempt);
    if (row == nullptr) {
        return;
    }
    UpstreamLoad &load = placement_.load(row->upstream);
    if (head.load.has_value()) {
        load.state(*head.load, now);
    }
    if (head.notRun) {
        commands.emplace_back(RelayCancel { head.attempt });
        load.noteFull(now);
        row->tried.insert(row->upstream);
        endAttempt(*row);
        retry(*row, ResultCode::UpstreamFull, now, commands);
        return;
    }
    if (head.status >= HttpServerError || (row->firstByte.has_value() && head.status != HttpOk)) {
        load.noteFailed(now);
        if (row->firstByte.has_value() || (row->isIdempotent() && mayRetry(*row, now))) {
            commands.emplace_back(RelayCancel { head.attempt });
            row->tried.insert(row->upstream);
            row->mayHaveRun = true;
            endAttempt(*row);
            retry(*row, ResultCode::UpstreamFailed, now, commands);
            return;
        }
    } else {
        load.noteAnswered(now);
    }
    load.noteRead(std::exchange(row->unreadTokens, 0));
    row->phase = RelayPhase::Answering;
    row->progressAt = now;
    if (!row->firstByte.has_value()) {
        row->firstByte = now - row->arrivedAt;
    }
    commands.emplace_back(RelayForward { head.attempt });
}

void RelaySystem::progressed(const RelayProgress &progress, TimePoint now)
{
    RelayRow *row = rowOf(progress.attempt);
    if (row != nullptr) {
        placement_.load(row->upstream).noteGap(now - row->progressAt, now);
        row->progressAt = now;
    }
}

void RelaySystem::ended(const RelayEnd &end, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = rowOf(end.attempt);
    if (row == nullptr) {
        return;
    }
    const WaitingLine line = row->line;
    endAttempt(*row);
    finish(*row, Outcome::Answered, ResultCode::Ok, now, commands);
    serveQueue(line, now, commands);
}

void RelaySystem::failed(const RelayFailure &failure, TimePoint now, RelayCommands &commands)
{
    RelayRow *row = rowOf(failure.attempt);
    if (row == nullptr) {
        return;
    }
    const WaitingLine line = row->line;
    if (failure.kind == RelayFailure::Kind::NotConnected) {
        placement_.load(row->upstream).noteUnreachable(now);
    } else {
        placement_.load(row->upstream).noteFailed(now);
    }
    row->tried.insert(row->upstream);
    endAttempt(*row);
    if (failure.kind == RelayFailure::Kind::NotConnected) {
        ++row->failedConnects;
        --row->attempts;
        retry(*row, ResultCode::UpstreamRefused, now, commands);
    } else {
        row->mayHaveRun = true;
        const bool garbled = failure.kind == RelayFailure::Kind::InvalidResponse;
        retry(*row, garbled ? ResultCode::CrossedAnswer : ResultCode::UpstreamLost, now, commands);
    }
    serveQueue(line, now, commands);
}

void RelaySystem::probed(const RelayProbeResult &result, TimePoint now, RelayCommands &commands)
{
    placement_.load(result.upstream).noteProbed(result.reached, now);
    commands.emplace_back(recordProbe(result));
}

bool RelaySystem::mayRetry(const RelayRow &row, TimePoint now)
{
    const bool spent = row.attempts >= row.route->maxAttempts || row.failedConnects >= MaxFailedConnects;
    const bool onceOnly = row.mayHaveRun && !row.isIdempotent();
    const bool begun = row.firstByte.has_value() && !row.route->resumable;
    return !row.callerGone && !spent && !onceOnly && !begun && row.deadline - now >= ShortestUsefulTime;
}

void RelaySystem::retry(RelayRow &row, ResultCode cause, TimePoint now, RelayCommands &commands)
{
    row.cause = cause;
    commands.emplace_back(recordFailedAttempt(row, now));
    // An attempt that never reached an upstream is no repeat.
    const bool free = row.attempts == 0;
    if (!mayRetry(row, now) || (!free && !budgetOf(row.pool).spend(now))) {
        giveUp(row, cause, now, commands);
        return;
    }
    place(row, now, commands);
}

void RelaySystem::endAttempt(RelayRow &row)
{
    UpstreamLoad &load = placement_.load(row.upstream);
    load.noteRead(std::exchange(row.unreadTokens, 0));
    load.end(row.tokens());
    attempts_.erase(row.attempt);
    row.attempt = AttemptId();
}

// Ends.

void RelaySystem::giveUp(RelayRow &row, ResultCode code, TimePoint now, RelayCommands &commands)
{
    const RequestId request = row.request.request;
    if (row.firstByte.has_value()) {
        finish(row, Outcome::Failed, code, now, commands);
        commands.emplace_back(RelayAbort { request });
        return;
    }
    if (row.mayHaveRun) {
        const Outcome outcome = row.isIdempotent() ? Outcome::Failed : Outcome::Unknown;
        const bool late = now >= row.deadline;
        finish(row, outcome, code, now, commands);
        // A status of 503 would say that the request has not run.
        const ResultCode final = late ? ResultCode::UpstreamTimeout : ResultCode::UpstreamLost;
        commands.emplace_back(
            RelayRefusal { request, { final, "the upstream gave no answer", std::nullopt }, outcome });
        return;
    }
    const std::size_t ahead = queues_[row.line].ahead(row.tier);
    const Duration retryAfter = returnTimeOf(row).after(ahead, row.deadline - now);
    const ResultCode final = httpStatusFor(code) == httpStatusFor(ResultCode::Shed) ? code : ResultCode::Shed;
    finish(row, Outcome::NotRun, code, now, commands);
    commands.emplace_back(RelayRefusal { request, { final, "no upstream has room", retryAfter }, Outcome::NotRun });
}

void RelaySystem::finish(RelayRow &row, Outcome outcome, ResultCode code, TimePoint now, RelayCommands &commands)
{
    commands.emplace_back(recordFinish(row, outcome, code, now));
    measured_.push_back({ row.tier, outcome, code, row.firstByte, now - row.arrivedAt, row.attempts });
    const RequestId request = row.request.request;
    rows_.erase(request);
}

// Time.

void RelaySystem::tick(TimePoint now, RelayCommands &commands)
{
    noteChanges(directory_.expire(now), commands);
    peers_.expire(now);
    std::vector<RequestId> due;
    for (const auto &[request, row] : rows_) {
        const bool expired = now >= row.deadline;
        const bool waitedOut = row.phase == RelayPhase::Waiting && now >= row.waitUntil;
        const bool running = row.phase != RelayPhase::Waiting && row.isIdempotent();
        if (expired || waitedOut || running) {
            due.push_back(request);
        }
    }
    for (const RequestId &request : due) {
        RelayRow *row = rows_.edit(request);
        if (row == nullptr) {
            continue;
        }
        if (row->phase != RelayPhase::Waiting) {
            checkRunning(*row, now, commands);
            continue;
        }
        leaveLine(*row);
        giveUp(*row, row->mayHaveRun ? row->cause : ResultCode::Shed, now, commands);
    }
    for (RelayProbe &probe : placement_.takeProbes(directory_, now)) {
        commands.emplace_back(std::move(probe));
    }
    for (auto &[line, queue] : queues_) {
        serveQueue(line, now, commands);
    }
}

void RelaySystem::checkRunning(RelayRow &row, TimePoint now, RelayCommands &commands)
{
    if (now >= row.deadline) {
        commands.emplace_back(RelayCancel { row.attempt });
        row.mayHaveRun = true;
        endAttempt(row);
        giveUp(row, ResultCode::UpstreamTimeout, now, commands);
        return;
    }
    const bool answering = row.phase == RelayPhase::Answering;
    const Duration silence = answering ? row.route->gapTarget.value_or(row.route->target) * SilenceGaps
                                       : std::max(row.route->target * SilenceTargets, ShortestSilence);
    if (now - row.progressAt < silence || !mayRetry(row, now)) {
        return;
    }
    commands.emplace_back(RelayCancel { row.attempt });
    placement_.load(row.upstream).noteFailed(now);
    row.tried.insert(row.upstream);
    row.mayHaveRun = true;
    endAttempt(row);
    retry(row, ResultCode::UpstreamTimeout, now, commands);
}

RelayRow *RelaySystem::rowOf(const AttemptId &attempt)
{
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : rows_.edit(found->second);
}

ReturnTime &RelaySystem::returnTimeOf(const RelayRow &row)
{
    return returnTimes_.try_emplace(row.line, random_.engine()()).first->second;
}

RelayBudget &RelaySystem::budgetOf(const PoolName &pool)
{
    const auto [budget, isNew] = budgets_.try_emplace(pool, settings_.retryAllowance);
    if (isNew) {
        budget->second.setNodes(peers_.nodeCount());
    }
    return budget->second;
}

void RelaySystem::setLimits(const RepeatAllowance &retryAllowance, const KnowledgeLimits &stalenessLimits)
{
    settings_.retryAllowance = retryAllowance;
    settings_.stalenessLimits = stalenessLimits;
    for (auto &[pool, budget] : budgets_) {
        budget.setAllowance(retryAllowance);
    }
}

std::vector<RelayRequestMetrics> RelaySystem::takeRequestMetrics()
{
    return std::exchange(measured_, {});
}

} // namespace GeraniumLever
