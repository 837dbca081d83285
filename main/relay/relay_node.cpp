#include "main/relay/relay_node.h"

#include <deque>
#include <random>
#include <unordered_map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "drivers/http/http.h"
#include "main/relay/peer_exchange.h"
#include "main/relay/quarantine_sync.h"
#include "main/relay/relay_metrics.h"
#include "main/relay/store_poller.h"
#include "main/relay/stored_origin_sync.h"
#include "main/relay/tick_timer.h"
#include "main/relay/version_note_sync.h"

namespace GeraniumLever {

namespace {

/** Tick period of the relay logic while requests are in flight; resolution of waits and timeouts. */
constexpr std::chrono::milliseconds BusyTickPeriod(25);
/** Tick period of all other periodic work, and of the relay logic while it has no requests. */
constexpr std::chrono::milliseconds IdleTickPeriod(250);
/** How long a stopping node still accepts connections: the load balancer removes it after two failed health checks, one
 *  second apart. */
constexpr std::chrono::milliseconds AcceptDurationAfterStop(2600);
/** Fraction of the stop limit after which the process exits even if requests are still in flight. */
constexpr double StopLimitFraction = 0.86;
/** The store usually responds within milliseconds; this leaves room for a slow store. */
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
    result.upstreamHeartbeat = settings.upstreamHeartbeat;
    result.isFirstStart = settings.isFirstStart;
    result.origin = origin;
    result.seed = origin;
    return result;
}

} // namespace

struct RelayNode::State : RelayCallerObserver, RelayExchangeObserver, StorePollObserver, PeerExchangeObserver
{
    /** State of a request that the relay logic does not hold. */
    struct OpenCall
    {
        RelayCallPtr call;
        /** Identifier of the last event that was forwarded to the caller. */
        std::string lastEventId;
        bool responseStarted = false;
    };

    State(RelaySettings nodeSettings,
          boost::asio::io_context &ioContext,
          NonBlockingLogSink &lineLog,
          std::function<void()> onStopped)
        : settings(std::move(nodeSettings))
        , context(ioContext)
        , log(lineLog)
        , stopped(std::move(onStopped))
        , origin(originHash(settings.node, Incarnation(randomNumber())))
        , system(systemSettingsOf(settings, origin))
        , callerServer(RelayServerSettings { settings.callerAddress, origin }, context, codec, *this)
        , upstreamClient(context, codec, *this)
        , store(context, settings.storeAddress, StoreTimeout)
        , storePoller(context, store, settings.applyTime, clock, *this)
        , peerExchange(context,
                       { settings.node, settings.dataCenter, settings.peerAddress, settings.processorShare, origin },
                       store,
                       clock,
                       system,
                       *this)
        , quarantineSync(context, store, clock, system)
        , versionNoteSync(context,
                          store,
                          clock,
                          system,
                          [this](const StoredVersionNotes &notes, TimePoint asOf) {
                              perform([&](RelayCommands &commands) {
                                  system.versionNotesRead(notes, asOf, clock.now(), commands);
                              });
                          })
        , storedOriginSync(context,
                           store,
                           clock,
                           system,
                           settings.node.text() + '/' + std::to_string(origin),
                           [this](const StoredOrigins &origins, TimePoint asOf) {
                               perform([&](RelayCommands &commands) {
                                   system.storedOriginsRead(origins, asOf, clock.now(), commands);
                               });
                           })
        , statusServer(OperatorServerSettings { settings.statusAddress, {} },
                       context,
                       [this](const OperatorRequest &request, OperatorServer::Responder respond) {
                           handleStatusRequest(request, std::move(respond));
                       })
        , busyTimer(context, clock, [this]() { busyTick(); })
        , idleTimer(context, clock, [this]() { idleTick(); })
        , stopTimer(context)
    {
    }

    // RelayCallerObserver

    void callArrived(RelayCallPtr call) override
    {
        calls.emplace(call->attributes.request, OpenCall { call, {}, false });
        perform([&](RelayCommands &commands) { system.arrived(call->attributes, clock.now(), commands); });
        startBusyTimer();
    }

    void callerGone(const RequestId &request) override
    {
        perform([&](RelayCommands &commands) { system.callerGone(request, clock.now(), commands); });
    }

    void callerBacklog(const RequestId &request, bool backlogged) override
    {
        perform([&](RelayCommands &commands) { system.callerBacklogged(request, backlogged, clock.now(), commands); });
    }

    void inputRejected(const Error &error) override
    {
        metrics.recordInputRejected(error.code);
        LOG(INFO) << "event=input_rejected code=" << resultCodeName(error.code) << " message=\"" << error.message
                  << '"';
    }

    // RelayExchangeObserver

    void exchangeNotice(const UpstreamNotice &notice) override
    {
        perform([&](RelayCommands &commands) { system.noticeArrived(notice, clock.now(), commands); });
    }

    void exchangeHeldBack(const AttemptId &attempt) override { noteProgress({ attempt, true }); }

    void exchangeHead(const RelayResponseHead &head, const RelayResponse &response) override
    {
        responses[head.attempt] = &response;
        perform([&](RelayCommands &commands) { system.headArrived(head, clock.now(), commands); });
        responses.erase(head.attempt);
    }

    void exchangeData(const AttemptId &attempt, std::string_view bytes, const std::string &lastEventId) override
    {
        const auto request = requestsByAttempt.find(attempt);
        if (request == requestsByAttempt.end()) {
            return;
        }
        const auto found = calls.find(request->second);
        if (found == calls.end()) {
            return;
        }
        if (!lastEventId.empty()) {
            found->second.lastEventId = lastEventId;
        }
        const RequestId id = request->second;
        noteProgress({ attempt });
        callerServer.append(id, bytes);
    }

    void exchangeEnded(const AttemptId &attempt) override
    {
        const auto request = requestsByAttempt.find(attempt);
        if (request != requestsByAttempt.end()) {
            callerServer.finish(request->second);
        }
        perform([&](RelayCommands &commands) { system.ended({ attempt }, clock.now(), commands); });
        removeCall(attempt);
    }

    void exchangeFailed(const RelayFailure &failure) override
    {
        perform([&](RelayCommands &commands) { system.failed(failure, clock.now(), commands); });
        requestsByAttempt.erase(failure.attempt);
    }

    // StorePollObserver

    void configurationRead(const StoredConfiguration &configuration, TimePoint asOf) override
    {
        metrics.recordStoreRead(true);
        const ConfigurationId before = system.fleet().configuration().id();
        perform(
            [&](RelayCommands &commands) { system.applyConfiguration(configuration, asOf, clock.now(), commands); });
        if (system.fleet().configuration().id() != before) {
            callerServer.setLimits(system.fleet().configuration().table()->configuration().limits);
        }
    }

    void upstreamsRead(const StoredUpstreams &upstreams, TimePoint asOf) override
    {
        metrics.recordStoreRead(true);
        perform([&](RelayCommands &commands) { system.updateUpstreams(upstreams, asOf, clock.now(), commands); });
        versionNoteSync.check();
    }

    void readFailed(const Error &error) override
    {
        metrics.recordStoreRead(false);
        system.registryReadFailed();
        if (!storeUnavailable) {
            storeUnavailable = true;
            LOG(WARNING) << "event=store_lost code=" << resultCodeName(error.code) << " message=\"" << error.message
                         << '"';
        }
    }

    void storeRecovered() override
    {
        storeUnavailable = false;
        LOG(INFO) << "event=store_regained";
    }

    // PeerExchangeObserver

    void nodesRead(const StoredNodes &nodes, TimePoint asOf) override
    {
        perform([&](RelayCommands &commands) { system.updateNodes(nodes, asOf, clock.now(), commands); });
    }

    void peerReportReceived(const PeerReport &report) override
    {
        perform([&](RelayCommands &commands) { system.peerReportReceived(report, clock.now(), commands); });
    }

    void streamReplyReceived(const StreamReply &reply) override
    {
        perform([&](RelayCommands &commands) { system.streamReplyReceived(reply, clock.now(), commands); });
    }

    void limitReportReceived(const LimitReport &report) override
    {
        perform([&](RelayCommands &commands) { system.limitReportReceived(report, clock.now(), commands); });
    }

    // Execution of commands

    template<typename Step>
    void perform(Step step)
    {
        RelayCommands commands;
        step(commands);
        pendingCommands.insert(
            pendingCommands.end(), std::make_move_iterator(commands.begin()), std::make_move_iterator(commands.end()));
        if (executingCommands) {
            return;
        }
        executingCommands = true;
        while (!pendingCommands.empty()) {
            const RelayCommand command = std::move(pendingCommands.front());
            pendingCommands.pop_front();
            execute(command);
        }
        executingCommands = false;
        for (const RelayRequestMetrics &measured : system.takeRequestMetrics()) {
            metrics.record(measured);
        }
        log.flush();
    }

    /** A command that fails unexpectedly must not keep the others from being carried out. */
    void execute(const RelayCommand &command)
    {
        try {
            std::visit([this](const auto &value) { this->run(value); }, command);
        } catch (const std::exception &error) {
            LOG(ERROR) << "event=unexpected_error command=" << command.index() << " message=\"" << error.what() << '"';
        }
    }

    void run(const RelayDispatch &command)
    {
        const auto found = calls.find(command.request);
        if (found == calls.end()) {
            return;
        }
        requestsByAttempt[command.attempt] = command.request;
        upstreamClient.dispatch(command, found->second.call, found->second.lastEventId);
    }

    void run(const RelayForward &command)
    {
        const auto request = requestsByAttempt.find(command.attempt);
        const auto response = responses.find(command.attempt);
        if (request == requestsByAttempt.end() || response == responses.end()) {
            return;
        }
        OpenCall &call = calls.at(request->second);
        if (!call.responseStarted) {
            call.responseStarted = true;
            callerServer.begin(request->second, *response->second);
        }
    }

    void run(const RelayCancel &command)
    {
        upstreamClient.cancel(command.attempt);
        requestsByAttempt.erase(command.attempt);
    }

    void run(const RelaySetReading &command) { upstreamClient.setReading(command.attempt, command.enabled); }

    void run(const RelayProbe &command)
    {
        upstreamClient.probe(command, [this](const RelayProbeResult &result) {
            perform([&](RelayCommands &commands) { system.probed(result, clock.now(), commands); });
        });
    }

    void run(const RelayRefusal &command)
    {
        callerServer.refuse(command.request, command.error, command.outcome);
        calls.erase(command.request);
    }

    void run(const RelayAbort &command)
    {
        callerServer.abortResponse(command.request);
        calls.erase(command.request);
    }

    void run(const OutgoingStreamMessage &message) { peerExchange.send(message); }

    void run(const OutgoingCrashReport &message) { peerExchange.send(message); }

    void run(const OutgoingLimitReport &message) { peerExchange.send(message); }

    void run(const ReadVersionNotes &) { versionNoteSync.read(); }

    void run(const ReadStoredOrigins &) { storedOriginSync.read(); }

    void run(const Decision &decision)
    {
        metrics.record(decision);
        LOG(INFO) << formatDecision(decision);
    }

    void noteProgress(const RelayProgress &progress)
    {
        RelayCommands news;
        system.progressed(progress, clock.now(), news);
        if (!news.empty()) {
            perform([&](RelayCommands &commands) { commands = std::move(news); });
        }
    }

    void removeCall(const AttemptId &attempt)
    {
        const auto request = requestsByAttempt.find(attempt);
        if (request != requestsByAttempt.end()) {
            calls.erase(request->second);
            requestsByAttempt.erase(request);
        }
    }

    // Timers

    void startBusyTimer() { busyTimer.start(BusyTickPeriod); }

    void busyTick()
    {
        perform([&](RelayCommands &commands) { system.tick(clock.now(), commands); });
        storedOriginSync.check();
        if (system.inFlight() != 0) {
            startBusyTimer();
        }
    }

    void idleTick()
    {
        callerServer.tick();
        versionNoteSync.check();
        storedOriginSync.check();
        perform([&](RelayCommands &commands) { system.tick(clock.now(), commands); });
        log.flush();
        std::erase_if(calls, [&logic = system](const auto &entry) { return !logic.knows(entry.first); });
        idleTimer.start(IdleTickPeriod);
    }

    // Status and shutdown

    bool ready() const { return system.fleet().isReady() && !stopping; }

    void handleStatusRequest(const OperatorRequest &request, OperatorServer::Responder respond)
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
        peerExchange.stop();
        callerServer.announceClose();
        drainAt = std::chrono::steady_clock::now() + AcceptDurationAfterStop;
        const std::chrono::duration<double> limit = settings.stopLimit * StopLimitFraction;
        forcedStopAt =
            std::chrono::steady_clock::now() + std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit);
        checkStop();
    }

    void checkStop()
    {
        const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
        if (now >= drainAt) {
            system.startDraining();
            callerServer.drain();
        }
        if ((now >= drainAt && system.inFlight() == 0 && callerServer.isDrained()) || now >= forcedStopAt) {
            LOG(INFO) << "event=stopped in_flight=" << system.inFlight()
                      << " unreported_input=" << callerServer.countUnreportedInput();
            log.flush();
            storePoller.stop();
            quarantineSync.stop();
            versionNoteSync.stop();
            storedOriginSync.stop();
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
    NonBlockingLogSink &log;
    std::function<void()> stopped;
    std::uint64_t origin;
    BootClock clock;
    PlatformHeaderCodec codec;
    RelaySystem system;
    RelayServer callerServer;
    RelayClient upstreamClient;
    PlatformStore store;
    StorePoller storePoller;
    PeerExchange peerExchange;
    QuarantineSync quarantineSync;
    VersionNoteSync versionNoteSync;
    StoredOriginSync storedOriginSync;
    OperatorServer statusServer;
    RelayMetrics metrics;
    TickTimer busyTimer;
    TickTimer idleTimer;
    boost::asio::steady_timer stopTimer;
    std::unordered_map<RequestId, OpenCall> calls;
    std::unordered_map<AttemptId, RequestId> requestsByAttempt;
    /** Responses whose head is being reported to the relay logic. */
    std::unordered_map<AttemptId, const RelayResponse *> responses;
    std::deque<RelayCommand> pendingCommands;
    std::chrono::steady_clock::time_point drainAt;
    std::chrono::steady_clock::time_point forcedStopAt;
    bool executingCommands = false;
    bool storeUnavailable = false;
    bool stopping = false;
};

RelayNode::RelayNode(RelaySettings settings,
                     boost::asio::io_context &context,
                     NonBlockingLogSink &log,
                     std::function<void()> stopped)
    : state_(std::make_unique<State>(std::move(settings), context, log, std::move(stopped)))
{
}

RelayNode::~RelayNode() = default;

Result<Success> RelayNode::start()
{
    Result<Success> started = state_->statusServer.start();
    if (succeeded(started)) {
        started = state_->callerServer.start();
    }
    if (succeeded(started)) {
        started = state_->peerExchange.start();
    }
    if (!succeeded(started)) {
        return started;
    }
    LOG(INFO) << "event=started node=" << state_->settings.node.text()
              << " data_center=" << state_->settings.dataCenter.text() << " origin=" << state_->origin;
    state_->storePoller.start();
    state_->quarantineSync.start();
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
