#include "development/bench/simulation.h"

#include <algorithm>

#include "servers/scheduling/scheduling.h"

namespace GeraniumLever {

namespace {

constexpr Duration Tick = std::chrono::milliseconds(5);
constexpr Duration ReportInterval = std::chrono::seconds(1);
constexpr Duration UsualReportLag = std::chrono::milliseconds(500);
constexpr Duration LongReportLag = std::chrono::seconds(5);
constexpr Duration CacheEventLag = std::chrono::seconds(1);
constexpr double LostCacheEvents = 0.02;
constexpr Duration ProgressInterval = std::chrono::seconds(1);
constexpr std::size_t IngressCount = 3;
constexpr double StragglerSlowdown = 4.0;
constexpr Duration CrashDuration = std::chrono::seconds(30);

/** When the ingresses of a takeover change over, after the first one; the old scheduler dies in between. */
constexpr Duration OldSchedulerDies = std::chrono::seconds(2);
constexpr Duration DetectionTime = std::chrono::seconds(3);

/** Time for which a paused or lost stream that has begun waits for a seat. */
constexpr Duration ResumeTime = std::chrono::seconds(300);

/** Arrivals after the measured part, which keep up the load until the measured requests are over. */
constexpr Duration BackgroundLength = std::chrono::seconds(300);

/** Longest time after the last measured arrival. */
constexpr Duration DrainLimit = std::chrono::seconds(400);

/** Number of engines at which the traffic of a straggling or crashing engine is found. */
constexpr std::size_t FaultyEngine = 2;

using Phase = SimulatedRequest::Phase;

} // namespace

Simulation::Simulation(const BenchRun &run) : run_(run), random_(run.seed + 1000000)
{
    start_ = clock_.now();
    nextReport_ = start_;
    makeCatalog();
    requests_ = generateRequests(run.shape, run.length, BackgroundLength, run.seed);
    for (std::uint64_t number = 0; number < 2; ++number) {
        schedulers_.push_back(makePolicy(run.policy, number));
        schedulers_.back()->applyCatalog(catalog_, clock_.now());
    }
    commands_.resize(schedulers_.size());
    schedulerAlive_.assign(schedulers_.size(), true);
    for (std::size_t index = 0; index < IngressCount; ++index) {
        ingresses_.push_back({ NodeName(std::string("entry-").append(std::to_string(index))), 0 });
    }
    for (const TrafficSource &source : run.shape.sources) {
        ClassResult result;
        result.name = source.requestClass.name;
        result_.classes.push_back(result);
        lastServed_.push_back(start_);
    }
    backgroundClasses_ = result_.classes;
    result_.length = run.length;
}

void Simulation::makeCatalog()
{
    std::vector<EntityChange> changes { Pool { PoolName("pool"), ModelName("model"), "", 1, 1 } };
    for (const TrafficSource &source : run_.shape.sources) {
        changes.push_back(source.requestClass);
    }
    for (const Team &team : benchTeams()) {
        changes.push_back(team);
    }
    for (std::uint32_t index = 0; index < run_.shape.engines; ++index) {
        Upstream upstream;
        upstream.name = UpstreamName(std::string("engine").append(std::to_string(100 + index)));
        upstream.pool = PoolName("pool");
        upstream.dataCenter = DataCenterName("here");
        upstream.seats = run_.shape.speeds.seats;
        changes.push_back(upstream);
        engineNames_.push_back(upstream.name);
        engines_.emplace_back(run_.shape.speeds);
    }
    engineDown_.assign(engines_.size(), false);
    cacheSequences_.assign(engines_.size(), 0);
    catalog_ = std::make_shared<const Catalog>(Catalog().withChanges(changes, TicketNumber(1)));
}

double Simulation::progressOfRun() const
{
    return std::chrono::duration<double>(elapsed()) / std::chrono::duration<double>(run_.length);
}

BenchPolicy &Simulation::schedulerOf(const SimulatedRequest &request)
{
    return *schedulers_[ingresses_[request.ingress].scheduler];
}

const TrafficSource &Simulation::sourceOf(const SimulatedRequest &request) const
{
    return run_.shape.sources[request.request.source];
}

ClassResult &Simulation::resultOf(const SimulatedRequest &request)
{
    return (request.background ? backgroundClasses_ : result_.classes)[request.request.source];
}

BenchResult Simulation::run()
{
    const TimePoint last = start_ + run_.length + DrainLimit;
    while (clock_.now() < last && (elapsed() < run_.length || measuredActive_ > 0)) {
        clock_.advance(Tick);
        applyFaults();
        deliverAll();
        arrivals();
        stepEngines();
        deliverAll();
        reportLoads();
        deliverReports();
        tickSchedulers();
        deliverAll();
        checkWaits();
        // What a leaving caller has set off is judged before anything else happens.
        deliverAll();
    }
    if (isUnderTest(run_.policy)) {
        result_.violations = checker_.violations();
    }
    return result_;
}

void Simulation::tickSchedulers()
{
    for (std::size_t scheduler = 0; scheduler < schedulers_.size(); ++scheduler) {
        if (schedulerAlive_[scheduler]) {
            schedulers_[scheduler]->tick(clock_.now(), commands_[scheduler]);
        }
    }
}

void Simulation::deliverAll()
{
    for (std::size_t scheduler = 0; scheduler < schedulers_.size(); ++scheduler) {
        deliver(scheduler);
    }
}

void Simulation::applyFaults()
{
    const double progress = progressOfRun();
    if (run_.fault == BenchFault::Straggler && !faultBegun_ && progress >= 0.2) {
        faultBegun_ = true;
        engines_[FaultyEngine].setSlowdown(StragglerSlowdown);
        checker_.noteSlow(engineNames_[FaultyEngine]);
    }
    const Duration crashAt = run_.length * 2 / 5;
    if (run_.fault == BenchFault::Crash && !faultBegun_ && elapsed() >= crashAt) {
        faultBegun_ = true;
        crashEngine(FaultyEngine);
    }
    if (run_.fault == BenchFault::Crash && !faultEnded_ && elapsed() >= crashAt + CrashDuration) {
        faultEnded_ = true;
        engineDown_[FaultyEngine] = false;
    }
    if (run_.fault != BenchFault::Takeover) {
        return;
    }
    const Duration begin = run_.length / 2;
    if (elapsed() >= begin && ingresses_[0].scheduler == 0) {
        faultBegun_ = true;
        switchScheduler(0, true);
    }
    if (elapsed() >= begin + OldSchedulerDies) {
        schedulerAlive_[0] = false;
    }
    for (std::size_t index = 1; index < ingresses_.size(); ++index) {
        const Duration detected = OldSchedulerDies + DetectionTime + std::chrono::milliseconds(500) * (index - 1);
        if (elapsed() >= begin + detected && ingresses_[index].scheduler == 0) {
            switchScheduler(index, false);
        }
    }
    faultEnded_ = std::all_of(
        ingresses_.begin(), ingresses_.end(), [](const Ingress &ingress) { return ingress.scheduler == 1; });
}

void Simulation::crashEngine(std::size_t engine)
{
    engineDown_[engine] = true;
    for (const AttemptId attempt : engines_[engine].crash()) {
        lost(*active_.edit(byAttempt_.at(attempt)), AttemptEnding::Lost);
    }
}

void Simulation::switchScheduler(std::size_t ingress, bool oldAlive)
{
    Ingress &row = ingresses_[ingress];
    if (oldAlive) {
        schedulers_[row.scheduler]->nodeLost(row.name, clock_.now(), commands_[row.scheduler]);
    }
    row.scheduler = 1;
    std::vector<std::uint64_t> waiting;
    for (auto &[number, request] : active_) {
        if (request.ingress != ingress) {
            continue;
        }
        request.scheduler = row.scheduler;
        if (request.phase == Phase::Waiting) {
            waiting.push_back(number);
            continue;
        }
        AttemptRegistration registration;
        registration.attempt = request.attempt;
        registration.request = request.request.request;
        registration.shard = request.shard;
        registration.upstream = engineNames_[request.engine];
        registration.requestClass = request.requestClass.name;
        registration.team = request.request.team;
        registration.promptTokens = request.request.promptTokens;
        registration.tokens = request.attemptTokens;
        registration.age = clock_.now() - request.dispatched;
        schedulers_[1]->attemptRegistered(row.name, registration, clock_.now());
    }
    for (const std::uint64_t number : waiting) {
        SimulatedRequest &request = *active_.edit(number);
        ask(request, request.deadline - clock_.now(), request.retry, request.deliveredBefore > 0 && !request.retry);
    }
}

void Simulation::arrivals()
{
    const std::vector<ShardKey> shards = shardsOf(*catalog_, DataCenterName("here"), PoolName("pool"));
    while (nextArrival_ < requests_.size() && requests_[nextArrival_].arrival <= elapsed()) {
        const BenchRequest &generated = requests_[nextArrival_];
        SimulatedRequest request;
        request.request = generated;
        request.shard = shards[nextArrival_ % shards.size()];
        request.requestClass = run_.shape.sources[generated.source].requestClass;
        request.ingress = nextArrival_ / shards.size() % ingresses_.size();
        request.arrived = clock_.now();
        request.background = generated.arrival >= run_.length;
        measuredActive_ += request.background ? 0 : 1;
        ++nextArrival_;
        const std::uint64_t number = generated.request.sequence();
        SimulatedRequest &row = active_.put(number, std::move(request));
        ++resultOf(row).offered;
        ask(row, row.requestClass.defaultDeadline, false, false);
        // Grants are judged by what waited when they were made.
        deliver(row.scheduler);
    }
}

void Simulation::ask(SimulatedRequest &request, Duration timeLeft, bool retry, bool resumes)
{
    request.phase = Phase::Waiting;
    request.asked = clock_.now();
    request.deadline = clock_.now() + timeLeft;
    request.retry = retry;
    const std::size_t scheduler = ingresses_[request.ingress].scheduler;
    request.scheduler = scheduler;
    if (!schedulerAlive_[scheduler]) {
        return;
    }
    SlotRequest message;
    message.request = request.request.request;
    message.shard = request.shard;
    message.requestClass = request.requestClass.name;
    message.team = request.request.team;
    message.timeLeft = timeLeft;
    message.promptTokens = request.request.promptTokens;
    message.deliveredTokens = request.deliveredBefore;
    const std::vector<std::uint64_t> &blocks = request.request.blockHashes;
    const std::size_t told = std::min(blocks.size(), MaxPrefixBlocks);
    message.prefixHashes.assign(blocks.data(), blocks.data() + told);
    message.excluded = request.excluded;
    message.retry = retry;
    message.resumesPaused = resumes;
    const NodeName &from = ingresses_[request.ingress].name;
    schedulers_[scheduler]->slotRequested(from, message, clock_.now(), commands_[scheduler]);
}

void Simulation::deliver(std::size_t scheduler)
{
    // Handling an answer may append further commands.
    for (std::size_t index = 0; index < commands_[scheduler].size(); ++index) {
        const Command command = commands_[scheduler][index];
        if (const Decision *decision = std::get_if<Decision>(&command); decision != nullptr) {
            checker_.noteDecision(*decision);
        }
        const PeerSend *send = std::get_if<PeerSend>(&command);
        if (send == nullptr) {
            continue;
        }
        if (const SlotGrant *grant = std::get_if<SlotGrant>(&send->message); grant != nullptr) {
            SimulatedRequest *request = active_.edit(grant->request.sequence());
            const Decision *decision = index + 1 < commands_[scheduler].size()
                ? std::get_if<Decision>(&commands_[scheduler][index + 1])
                : nullptr;
            if (request == nullptr || request->phase != Phase::Waiting
                || ingresses_[request->ingress].scheduler != scheduler) {
                continue;
            }
            const std::string reason = decision == nullptr ? "" : decision->fields.back().second;
            request->guaranteed = reason == "guarantee";
            checker_.checkGrant(active_, *request, reason);
            granted(*request, *grant, scheduler);
        } else if (const SlotRefusal *refusal = std::get_if<SlotRefusal>(&send->message); refusal != nullptr) {
            SimulatedRequest *request = active_.edit(refusal->request.sequence());
            if (request != nullptr && request->phase == Phase::Waiting
                && ingresses_[request->ingress].scheduler == scheduler) {
                refused(*request, *refusal);
            }
        } else if (const AttemptPause *pause = std::get_if<AttemptPause>(&send->message); pause != nullptr) {
            SimulatedRequest *request = active_.edit(pause->request.sequence());
            if (request != nullptr && request->phase == Phase::Running && request->attempt == pause->attempt) {
                paused(*request, *pause);
            }
        }
    }
    commands_[scheduler].clear();
}

void Simulation::granted(SimulatedRequest &request, const SlotGrant &grant, std::size_t)
{
    const std::size_t engine = static_cast<std::size_t>(
        std::find(engineNames_.begin(), engineNames_.end(), grant.upstream) - engineNames_.begin());
    ClassResult &result = resultOf(request);
    result.longestWait = std::max(result.longestWait, clock_.now() - request.asked);
    lastServed_[request.request.source] = clock_.now();
    request.phase = Phase::Running;
    request.attempt = grant.attempt;
    request.engine = engine;
    request.upstream = grant.upstream;
    request.dispatched = clock_.now();
    request.lastProgress = clock_.now();
    request.pausing = false;
    request.attemptTokens = 0;
    request.attemptFirstToken.reset();
    if (engineDown_[engine]) {
        lost(request, AttemptEnding::Refused);
        return;
    }
    EngineWork work;
    work.attempt = grant.attempt;
    work.tier = request.requestClass.tier;
    work.promptTokens = request.request.promptTokens + request.deliveredBefore;
    work.outputTokens = request.request.outputTokens - request.deliveredBefore;
    work.blockHashes = request.request.blockHashes;
    byAttempt_[grant.attempt] = request.request.request.sequence();
    request.computedPrompt = engines_[engine].add(std::move(work));
    if (!request.computedAgain.empty()) {
        waste(request.computedAgain, 0.0, request.computedPrompt);
        request.computedAgain.clear();
    }
}

void Simulation::refused(SimulatedRequest &request, const SlotRefusal &refusal)
{
    checker_.checkRefusal(active_, request, refusal.code);
    ClassResult &result = resultOf(request);
    result.longestWait = std::max(result.longestWait, clock_.now() - request.asked);
    ++result.refused;
    result.refusedAtDeadline += refusal.code == ResultCode::DeadlineUnreachable ? 1 : 0;
    waste("refused_after_start", request.deliveredBefore, 0.0);
    finish(request);
}

void Simulation::paused(SimulatedRequest &request, const AttemptPause &)
{
    checker_.checkPause(active_, request);
    ++resultOf(request).pauses;
    engines_[request.engine].cancel(request.attempt);
    request.pausing = true;
    endAttempt(request, AttemptEnding::Paused);
    request.deliveredBefore += request.attemptTokens;
    request.computedAgain = "computed_again_after_pause";
    ask(request, ResumeTime, false, true);
}

void Simulation::lost(SimulatedRequest &request, AttemptEnding ending)
{
    endAttempt(request, ending);
    request.deliveredBefore += request.attemptTokens;
    if (!request.requestClass.idempotent && ending == AttemptEnding::Lost) {
        waste("lost_not_idempotent", request.deliveredBefore, request.computedPrompt);
        finish(request);
        return;
    }
    request.excluded = { engineNames_[request.engine] };
    if (ending == AttemptEnding::Lost) {
        request.computedAgain = "computed_again_after_loss";
    }
    const Duration rest = request.arrived + request.requestClass.defaultDeadline - clock_.now();
    ask(request, request.deliveredBefore > 0 ? ResumeTime : std::max(rest, Tick), true, false);
}

void Simulation::endAttempt(SimulatedRequest &request, AttemptEnding ending)
{
    byAttempt_.erase(request.attempt);
    const std::size_t scheduler = ingresses_[request.ingress].scheduler;
    if (!schedulerAlive_[scheduler]) {
        return;
    }
    AttemptEnd end;
    end.attempt = request.attempt;
    end.request = request.request.request;
    end.shard = request.shard;
    end.upstream = engineNames_[request.engine];
    end.ending = ending;
    end.tokens = request.attemptTokens;
    if (request.attemptFirstToken) {
        end.firstToken = *request.attemptFirstToken - request.dispatched;
    }
    const NodeName &from = ingresses_[request.ingress].name;
    schedulers_[scheduler]->attemptEnded(from, end, clock_.now(), commands_[scheduler]);
}

void Simulation::leaveImpatient(SimulatedRequest &request)
{
    const std::size_t scheduler = ingresses_[request.ingress].scheduler;
    const NodeName &from = ingresses_[request.ingress].name;
    ++resultOf(request).left;
    if (request.phase == Phase::Running) {
        engines_[request.engine].cancel(request.attempt);
        endAttempt(request, AttemptEnding::Cancelled);
        waste("caller_left", 0.0, request.computedPrompt);
    } else if (schedulerAlive_[scheduler]) {
        schedulers_[scheduler]->slotCancelled(
            from, SlotCancel { request.request.request, request.shard }, clock_.now(), commands_[scheduler]);
    }
    finish(request);
}

void Simulation::finish(SimulatedRequest &request)
{
    request.phase = Phase::Over;
    measuredActive_ -= request.background ? 0 : 1;
}

void Simulation::stepEngines()
{
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        if (engineDown_[index]) {
            continue;
        }
        for (const EngineOutput &output : engines_[index].step(Tick)) {
            progressed(output);
        }
        for (const CacheChange &change : engines_[index].takeCacheChanges()) {
            const std::uint64_t sequence = ++cacheSequences_[index];
            if (random_.fraction() >= LostCacheEvents) {
                cacheEvents_.push_back(
                    { clock_.now() + CacheEventLag, { engineNames_[index], sequence, change.hash, change.stored } });
            }
        }
        if (isUnderTest(run_.policy)) {
            const bool overlap = faultBegun_ && run_.fault == BenchFault::Takeover;
            checker_.checkSeats(engineNames_[index], engines_[index].load(), run_.shape.speeds.seats, overlap ? 2 : 1);
        }
    }
}

void Simulation::progressed(const EngineOutput &output)
{
    SimulatedRequest &request = *active_.edit(byAttempt_.at(output.attempt));
    result_.generatedTokens += elapsed() < run_.length ? output.tokens - request.attemptTokens : 0;
    request.attemptTokens = output.tokens;
    const bool first = !request.attemptFirstToken;
    if (first) {
        request.attemptFirstToken = clock_.now();
        request.firstToken = request.firstToken ? request.firstToken : clock_.now();
    }
    if (output.finished) {
        completed(request);
        return;
    }
    if (!first && clock_.now() - request.lastProgress < ProgressInterval) {
        return;
    }
    request.lastProgress = clock_.now();
    if (!schedulerAlive_[ingresses_[request.ingress].scheduler]) {
        return;
    }
    AttemptProgress progress;
    progress.attempt = request.attempt;
    progress.shard = request.shard;
    progress.upstream = engineNames_[request.engine];
    progress.firstToken = *request.attemptFirstToken - request.dispatched;
    progress.tokens = request.attemptTokens;
    schedulerOf(request).attemptProgressed(ingresses_[request.ingress].name, progress, clock_.now());
}

void Simulation::completed(SimulatedRequest &request)
{
    endAttempt(request, AttemptEnding::Completed);
    ClassResult &result = resultOf(request);
    ++result.completed;
    const bool firstTokenMet = *request.firstToken - request.arrived <= request.requestClass.firstTokenTarget;
    const std::uint32_t gaps = std::max<std::uint32_t>(1, request.request.outputTokens - 1);
    const Duration meanGap = (clock_.now() - *request.firstToken) / gaps;
    result.firstTokenMet += firstTokenMet ? 1 : 0;
    result.inTarget += firstTokenMet && meanGap <= request.requestClass.tokenGapTarget ? 1 : 0;
    finish(request);
}

void Simulation::reportLoads()
{
    if (clock_.now() < nextReport_) {
        return;
    }
    nextReport_ = clock_.now() + ReportInterval;
    const Duration lag = run_.fault == BenchFault::LaggingReports ? LongReportLag : UsualReportLag;
    for (std::size_t index = 0; index < engines_.size(); ++index) {
        if (engineDown_[index]) {
            continue;
        }
        LoadReport report;
        report.upstream = engineNames_[index];
        report.running = static_cast<std::uint32_t>(engines_[index].batchSize());
        report.waiting = static_cast<std::uint32_t>(engines_[index].load() - engines_[index].batchSize());
        reports_.push_back({ clock_.now() + lag, report });
    }
}

void Simulation::deliverReports()
{
    while (!reports_.empty() && reports_.front().due <= clock_.now()) {
        for (std::size_t scheduler = 0; scheduler < schedulers_.size(); ++scheduler) {
            schedulers_[scheduler]->loadReported(reports_.front().report, clock_.now());
        }
        reports_.pop_front();
    }
    while (!cacheEvents_.empty() && cacheEvents_.front().due <= clock_.now()) {
        for (std::size_t scheduler = 0; scheduler < schedulers_.size(); ++scheduler) {
            schedulers_[scheduler]->cacheChanged(cacheEvents_.front().event, clock_.now());
        }
        cacheEvents_.pop_front();
    }
}

void Simulation::checkWaits()
{
    const bool takeover = run_.fault == BenchFault::Takeover && faultBegun_ && !faultEnded_;
    std::vector<bool> waits(result_.classes.size(), false);
    for (auto &[number, request] : active_) {
        if (request.phase != Phase::Over && !request.firstToken
            && clock_.now() - request.arrived > sourceOf(request).patience) {
            leaveImpatient(request);
        }
        if (request.phase == Phase::Waiting) {
            waits[request.request.source] = true;
            checker_.checkWait(request, clock_.now(), takeover ? 2 * DetectionTime : Duration(0));
        }
    }
    for (std::size_t index = 0; index < waits.size(); ++index) {
        if (!waits[index]) {
            lastServed_[index] = clock_.now();
        }
        ClassResult &result = result_.classes[index];
        result.longestUnserved = std::max(result.longestUnserved, clock_.now() - lastServed_[index]);
        checker_.checkServed(result.name, clock_.now() - lastServed_[index]);
    }
    active_.eraseIf([](std::uint64_t, const SimulatedRequest &request) { return request.phase == Phase::Over; });
}

void Simulation::waste(const std::string &cause, double generatedTokens, double promptTokens)
{
    const EngineSpeeds &speeds = run_.shape.speeds;
    const double gap = speeds.baseGap + speeds.gapPerAttempt * speeds.seats;
    const double tokensPerPromptToken = (1.0 / speeds.prefillRate) / (gap / speeds.seats);
    const double tokens = generatedTokens + promptTokens * tokensPerPromptToken;
    if (tokens > 0.0 && elapsed() < run_.length) {
        result_.wasted[cause] += tokens;
    }
}

} // namespace GeraniumLever
