#include "main/relay/relay_node.h"

#include <deque>
#include <random>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "drivers/http/http.h"
#include "main/relay/peer_exchange.h"
#include "main/relay/relay_metrics.h"
#include "main/relay/store_poller.h"

namespace GeraniumLever {

namespace {

/** Period of the logic while there are requests; waits and time limits are kept this exactly. */
constexpr std::chrono::milliseconds BusyTickPeriod(25);
/** Period of everything else. */
constexpr std::chrono::milliseconds IdleTickPeriod(250);
/** How long a stopping node still takes connections: the balancer needs two failed checks, a second apart. */
constexpr std::chrono::milliseconds AcceptingAfterStop(2600);
/** Part of the stop limit after which the process ends whatever is still in flight. */
constexpr double UsedShareOfStopLimit = 0.86;
/** An answer of the store takes milliseconds; a slow store answers within this time. */
constexpr Duration StoreTimeout = std::chrono::milliseconds(600);
constexpr unsigned HttpUnavailable = 503;
constexpr unsigned HttpNotFound = 404;

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

RelaySystemSettings systemSettingsOf(const RelaySettings &settings, std::uint64_t origin)
{
    RelaySystemSettings result;
    result.node = settings.node;
    result.dataCenter = settings.dataCenter;
    result.retryAllowance = { settings.repeatRatio, settings.repeatSlack, settings.repeatWindow };
    result.stalenessLimits.keyLifetime = settings.keyLifetime;
    result.origin = origin;
    result.seed = origin;
    return result;
}

} // namespace

struct RelayNode::State : RelayCallerObserver, RelayExchangeObserver, KnowledgeObserver
{
    /** What the node keeps beside the logic's row. */
    struct OpenCall
    {
        RelayCallPtr call;
        AttemptId attempt;
        /** Identifier of the last event that was passed on. */
        std::string lastEventId;
        bool begun = false;
    };

    State(RelaySettings nodeSettings,
          boost::asio::io_context &ioContext,
          LineLog &lineLog,
          std::function<void()> onStopped)
        : settings(std::move(nodeSettings))
        , context(ioContext)
        , log(lineLog)
        , stopped(std::move(onStopped))
        , origin(originHash(settings.node, Incarnation(randomNumber())))
        , system(systemSettingsOf(settings, origin))
        , callers(RelayServerSettings { settings.callerAddress, origin }, context, dialect, *this)
        , upstreams(context, dialect, *this)
        , store(context, settings.storeAddress, StoreTimeout)
        , reader(context, store, settings.applyTime, clock, *this)
        , peers(context,
                { settings.node, settings.dataCenter, settings.peerAddress, settings.processorShare },
                store,
                clock,
                system)
        , status(OperatorServerSettings { settings.statusAddress, {} },
                 context,
                 [this](const OperatorRequest &request, OperatorServer::Responder respond) {
                     answerStatus(request, std::move(respond));
                 })
        , busyTimer(context)
        , idleTimer(context)
        , stopTimer(context)
    {
    }

    // What callers do.

    void callArrived(RelayCallPtr call) override
    {
        calls.emplace(call->facts.request, OpenCall { call, {}, {}, false });
        perform([&](RelayCommands &commands) { system.arrived(call->facts, clock.now(), commands); });
        startBusyTimer();
    }

    void callerGone(const RequestId &request) override
    {
        perform([&](RelayCommands &commands) { system.callerGone(request, clock.now(), commands); });
    }

    void callerBacklog(const RequestId &request, bool backlogged) override
    {
        const auto found = calls.find(request);
        if (found != calls.end()) {
            upstreams.setReading(found->second.attempt, !backlogged);
        }
    }

    void inputRejected(const Error &error) override
    {
        metrics.noteInputRejected(error.code);
        LOG(INFO) << "event=input_rejected code=" << resultCodeName(error.code) << " message=\"" << error.message
                  << '"';
    }

    // What upstreams do.

    void exchangeHead(const RelayResponseHead &head, const RelayAnswer &answer) override
    {
        answers[head.attempt] = &answer;
        perform([&](RelayCommands &commands) { system.headArrived(head, clock.now(), commands); });
        answers.erase(head.attempt);
    }

    void exchangeData(const AttemptId &attempt, std::string_view bytes, const std::string &lastEventId) override
    {
        const auto request = requestsOfAttempts.find(attempt);
        if (request == requestsOfAttempts.end()) {
            return;
        }
        const auto found = calls.find(request->second);
        if (found == calls.end()) {
            return;
        }
        if (!lastEventId.empty()) {
            found->second.lastEventId = lastEventId;
        }
        system.progressed({ attempt }, clock.now());
        callers.append(request->second, bytes);
    }

    void exchangeEnded(const AttemptId &attempt) override
    {
        const auto request = requestsOfAttempts.find(attempt);
        if (request != requestsOfAttempts.end()) {
            callers.finish(request->second);
        }
        perform([&](RelayCommands &commands) { system.ended({ attempt }, clock.now(), commands); });
        forget(attempt);
    }

    void exchangeFailed(const RelayFailure &failure) override
    {
        perform([&](RelayCommands &commands) { system.failed(failure, clock.now(), commands); });
        requestsOfAttempts.erase(failure.attempt);
    }

    // What the store says.

    void configurationRead(SiteConfigurationPtr configuration, TimePoint asOf) override
    {
        metrics.noteStoreRead(true);
        const ConfigurationVersion before = system.configuration().version();
        perform([&](RelayCommands &commands) { system.applyConfiguration(configuration, asOf, commands); });
        if (system.configuration().version() != before) {
            callers.setLimits(system.configuration().table()->configuration().limits);
        }
    }

    void upstreamsRead(std::vector<UpstreamEntry> entries, TimePoint asOf) override
    {
        metrics.noteStoreRead(true);
        perform([&](RelayCommands &commands) { system.updateUpstreams(entries, asOf, clock.now(), commands); });
    }

    void readFailed(const Error &error) override
    {
        metrics.noteStoreRead(false);
        system.registryReadFailed();
        if (!storeLost) {
            storeLost = true;
            LOG(WARNING) << "event=store_lost code=" << resultCodeName(error.code) << " message=\"" << error.message
                         << '"';
        }
    }

    void storeRegained() override
    {
        storeLost = false;
        LOG(INFO) << "event=store_regained";
    }

    // Commands.

    template<typename Step>
    void perform(Step step)
    {
        RelayCommands commands;
        step(commands);
        waiting.insert(
            waiting.end(), std::make_move_iterator(commands.begin()), std::make_move_iterator(commands.end()));
        if (busy) {
            return;
        }
        busy = true;
        while (!waiting.empty()) {
            const RelayCommand command = std::move(waiting.front());
            waiting.pop_front();
            std::visit([this](const auto &value) { this->run(value); }, command);
        }
        busy = false;
        for (const RelayRequestMetrics &measured : system.takeRequestMetrics()) {
            metrics.note(measured);
        }
        log.flush();
    }

    void run(const RelayDispatch &command)
    {
        const auto found = calls.find(command.request);
        if (found == calls.end()) {
            return;
        }
        requestsOfAttempts[command.attempt] = command.request;
        found->second.attempt = command.attempt;
        upstreams.dispatch(command, found->second.call, found->second.lastEventId);
    }

    void run(const RelayForward &command)
    {
        const auto request = requestsOfAttempts.find(command.attempt);
        const auto answer = answers.find(command.attempt);
        if (request == requestsOfAttempts.end() || answer == answers.end()) {
            return;
        }
        OpenCall &call = calls.at(request->second);
        if (!call.begun) {
            call.begun = true;
            callers.begin(request->second, *answer->second);
        }
    }

    void run(const RelayCancel &command)
    {
        upstreams.cancel(command.attempt);
        requestsOfAttempts.erase(command.attempt);
    }

    void run(const RelayProbe &command)
    {
        upstreams.probe(command, [this](const RelayProbeResult &result) {
            perform([&](RelayCommands &commands) { system.probed(result, clock.now(), commands); });
        });
    }

    void run(const RelayRefusal &command)
    {
        callers.refuse(command.request, command.error, command.outcome);
        calls.erase(command.request);
    }

    void run(const RelayAbort &command)
    {
        callers.breakOff(command.request);
        calls.erase(command.request);
    }

    void run(const Decision &decision)
    {
        metrics.note(decision);
        LOG(INFO) << formatDecision(decision);
    }

    void forget(const AttemptId &attempt)
    {
        const auto request = requestsOfAttempts.find(attempt);
        if (request != requestsOfAttempts.end()) {
            calls.erase(request->second);
            requestsOfAttempts.erase(request);
        }
    }

    // Time.

    void startBusyTimer()
    {
        if (busyTimerRuns) {
            return;
        }
        busyTimerRuns = true;
        busyTimer.expires_after(BusyTickPeriod);
        busyTimer.async_wait([this](const boost::system::error_code &failure) {
            busyTimerRuns = false;
            if (failure) {
                return;
            }
            perform([&](RelayCommands &commands) { system.tick(clock.now(), commands); });
            if (system.inFlight() != 0) {
                startBusyTimer();
            }
        });
    }

    void idleTick()
    {
        callers.tick();
        perform([&](RelayCommands &commands) { system.tick(clock.now(), commands); });
        log.flush();
        std::erase_if(calls, [&logic = system](const auto &entry) { return !logic.knows(entry.first); });
        idleTimer.expires_after(IdleTickPeriod);
        idleTimer.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                idleTick();
            }
        });
    }

    // Status and stop.

    bool ready() const { return system.ready() && !stopping; }

    void answerStatus(const OperatorRequest &request, OperatorServer::Responder respond)
    {
        OperatorReply reply;
        reply.contentType = "text/plain";
        if (request.path == "/readyz") {
            reply.status = ready() ? reply.status : HttpUnavailable;
        } else if (request.path == "/metrics") {
            reply.body = metrics.render(system, clock.now(), log.droppedLines());
        } else if (request.path != "/healthz") {
            reply.status = HttpNotFound;
        }
        respond(std::move(reply));
    }

    void stop()
    {
        if (stopping) {
            return;
        }
        stopping = true;
        LOG(INFO) << "event=stopping in_flight=" << system.inFlight();
        peers.stop();
        callers.announceClose();
        stopAt = std::chrono::steady_clock::now() + AcceptingAfterStop;
        const std::chrono::duration<double> limit = settings.stopLimit * UsedShareOfStopLimit;
        endAt =
            std::chrono::steady_clock::now() + std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit);
        checkStop();
    }

    void checkStop()
    {
        const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        if (now >= stopAt) {
            system.startDraining();
            callers.drain();
        }
        if ((now >= stopAt && system.inFlight() == 0 && callers.quiet()) || now >= endAt) {
            LOG(INFO) << "event=stopped in_flight=" << system.inFlight();
            log.flush();
            reader.stop();
            stopped();
            return;
        }
        stopTimer.expires_after(std::chrono::milliseconds(50));
        stopTimer.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                checkStop();
            }
        });
    }

    RelaySettings settings;
    boost::asio::io_context &context;
    LineLog &log;
    std::function<void()> stopped;
    std::uint64_t origin;
    BootClock clock;
    PlatformDialect dialect;
    RelaySystem system;
    RelayServer callers;
    RelayClient upstreams;
    PlatformStore store;
    KnowledgeReader reader;
    PeerExchange peers;
    OperatorServer status;
    RelayMetrics metrics;
    boost::asio::steady_timer busyTimer;
    boost::asio::steady_timer idleTimer;
    boost::asio::steady_timer stopTimer;
    std::unordered_map<RequestId, OpenCall> calls;
    std::unordered_map<AttemptId, RequestId> requestsOfAttempts;
    /** Heads that are being reported. */
    std::unordered_map<AttemptId, const RelayAnswer *> answers;
    std::deque<RelayCommand> waiting;
    std::chrono::steady_clock::time_point stopAt;
    std::chrono::steady_clock::time_point endAt;
    bool busy = false;
    bool busyTimerRuns = false;
    bool storeLost = false;
    bool stopping = false;
};

RelayNode::RelayNode(RelaySettings settings,
                     boost::asio::io_context &context,
                     LineLog &log,
                     std::function<void()> stopped)
    : state_(std::make_unique<State>(std::move(settings), context, log, std::move(stopped)))
{
}

RelayNode::~RelayNode() = default;

Result<Success> RelayNode::start()
{
    Result<Success> started = state_->status.start();
    if (succeeded(started)) {
        started = state_->callers.start();
    }
    if (succeeded(started)) {
        started = state_->peers.start();
    }
    if (!succeeded(started)) {
        return started;
    }
    LOG(INFO) << "event=started node=" << state_->settings.node.text()
              << " data_center=" << state_->settings.dataCenter.text() << " origin=" << state_->origin;
    state_->reader.start();
    state_->idleTick();
    return started;
}

void RelayNode::stop()
{
    state_->stop();
}

void RelayNode::reload(const RelaySettings &settings)
{
    if (settings == state_->settings) {
        return;
    }
    state_->settings = settings;
    state_->system.setLimits({ settings.repeatRatio, settings.repeatSlack, settings.repeatWindow },
                             { settings.keyLifetime });
    LOG(INFO) << "event=settings_reloaded key_lifetime_ms=" << toMilliseconds(settings.keyLifetime)
              << " repeat_ratio=" << settings.repeatRatio << " repeat_slack=" << settings.repeatSlack;
}

} // namespace GeraniumLever
