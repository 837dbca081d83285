#include "main/node/entry_node.h"

#include <deque>
#include <random>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "drivers/http/http.h"
#include "drivers/mesh/mesh.h"
#include "drivers/store/store.h"
#include "main/node/admin_handler.h"
#include "main/node/decision_log.h"
#include "main/node/node_logic.h"
#include "main/node/node_metrics.h"

namespace GeraniumLever {

namespace {

constexpr std::chrono::milliseconds TickPeriod(5);

std::uint64_t randomNumber()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

NodeIdentity identityOf(const Settings &settings)
{
    NodeIdentity identity;
    identity.address = { settings.node, settings.dataCenter, settings.meshAddress, settings.callerAddress };
    identity.incarnation = Incarnation(randomNumber() | 1);
    for (const PeerSettings &peer : settings.peers) {
        if (peer.node != settings.node) {
            identity.seeds.push_back({ peer.node, peer.dataCenter, peer.meshAddress, peer.callerAddress });
        }
    }
    identity.meshKey = settings.meshKey;
    identity.seed = settings.seed != 0 ? settings.seed : randomNumber();
    identity.stopLimit = settings.stopLimit;
    return identity;
}

CallerServerSettings callerSettingsOf(const Settings &settings)
{
    CallerServerSettings result;
    result.listenAddress = settings.callerAddress;
    result.maxHeaderBytes = settings.maxHeaderBytes;
    result.maxBodyBytes = settings.maxBodyBytes;
    result.maxConnections = settings.maxConnections;
    result.requestTimeout = settings.requestTimeout;
    result.meshKey = settings.meshKey;
    return result;
}

OperatorServerSettings operatorSettingsOf(const Settings &settings)
{
    OperatorServerSettings result;
    result.listenAddress = settings.operatorAddress;
    result.keyHashes = settings.operatorKeyHashes;
    return result;
}

StoreSettings storeSettingsOf(const Settings &settings)
{
    StoreSettings result;
    result.tableAddress = settings.tableAddress;
    result.objectAddress = settings.objectAddress;
    result.vmListAddress = settings.vmListAddress;
    result.timeout = settings.storeTimeout;
    return result;
}

} // namespace

struct EntryNode::State
{
    State(Settings settings, boost::asio::io_context &context, std::function<void()> stopped)
        : identity(identityOf(settings))
        , stopped(std::move(stopped))
        , logic(identity)
        , callers(callerSettingsOf(settings), originHash(settings.node, identity.incarnation), context, sink())
        , upstreams(UpstreamClientSettings {}, context, sink())
        , store(storeSettingsOf(settings), context, sink())
        , mesh(MeshSettings { settings.node, identity.incarnation, settings.meshAddress, settings.meshKey },
               context,
               sink())
        , admin(
              logic,
              decisions,
              sink(),
              [this](const RequestId &request, const TeamName &team, const std::string &key) {
                  ask(request, team, key);
              },
              [this]() { return metrics.render(logic); })
        , operators(operatorSettingsOf(settings),
                    context,
                    [this](const OperatorRequest &request, OperatorServer::Responder respond) {
                        admin.handle(request, std::move(respond));
                    })
        , timer(context)
        , drainTimer(context)
    {
    }

    std::function<void(Event)> sink()
    {
        return [this](Event event) { take(std::move(event)); };
    }

    /** Adapters may report while they carry out a command; such events wait, in order, until the command is done. */
    void take(Event event)
    {
        events.push_back(std::move(event));
        handleWaitingEvents();
    }

    void handleWaitingEvents()
    {
        if (busy) {
            return;
        }
        busy = true;
        while (!events.empty()) {
            const Event next = std::move(events.front());
            events.pop_front();
            if (const StoreResult *result = std::get_if<StoreResult>(&next)) {
                metrics.note(*result);
            }
            Commands commands;
            logic.handle(next, clock.now(), commands);
            carryOut(commands);
        }
        busy = false;
    }

    /** Carries out commands that no event has caused. */
    void perform(Commands &commands)
    {
        const bool wasBusy = std::exchange(busy, true);
        carryOut(commands);
        busy = wasBusy;
        handleWaitingEvents();
    }

    void ask(const RequestId &request, const TeamName &team, const std::string &key)
    {
        Commands commands;
        logic.askStatus(request, team, key, clock.now(), commands);
        perform(commands);
    }

    void tick()
    {
        Commands commands;
        logic.tick(clock.now(), commands);
        perform(commands);
        refreshPeers();
        refreshWatches();
        timer.expires_after(TickPeriod);
        timer.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                tick();
            }
        });
    }

    void stop()
    {
        if (logic.state() == NodeState::Leaving) {
            return;
        }
        take(StopRequested {});
        drainTimer.expires_after(AcceptingAfterStop);
        drainTimer.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                callers.drain();
            }
        });
    }

    void carryOut(Commands &commands)
    {
        for (Command &command : commands) {
            std::visit([this](auto &value) { run(value); }, command);
        }
        for (const ClaimStatus &status : logic.takeOperatorStatuses()) {
            admin.statusFound(status);
        }
    }

    /** Follows the logic's view of its peers. */
    void refreshPeers()
    {
        std::vector<MeshPeer> wantedPeers;
        for (const NodeAddress &peer : logic.membership().meshTargets()) {
            wantedPeers.push_back({ peer.node, peer.meshAddress });
        }
        if (wantedPeers != peers) {
            peers = wantedPeers;
            mesh.setPeers(std::move(wantedPeers));
        }
    }

    /** Follows the logic's view of the upstreams to watch, which depends on nothing but the catalog and their names. */
    void refreshWatches()
    {
        if (logic.tickets().catalog() == watchedCatalog && logic.watchedUpstreams() == watchedNames) {
            return;
        }
        watchedCatalog = logic.tickets().catalog();
        watchedNames = logic.watchedUpstreams();
        std::vector<WatchedUpstream> wantedWatches;
        for (const UpstreamName &name : watchedNames) {
            const Upstream *upstream = watchedCatalog->upstreams().find(name);
            if (upstream != nullptr) {
                wantedWatches.push_back({ name, upstream->address });
            }
        }
        upstreams.watch(std::move(wantedWatches));
    }

    void run(const ReplyHead &command) { callers.reply(command); }
    void run(const ReplyData &command) { callers.reply(command); }
    void run(const ReplyEnd &command) { callers.reply(command); }
    void run(const ReplyError &command) { callers.reply(command); }
    void run(const UpstreamDispatch &command) { upstreams.dispatch(command); }
    void run(const UpstreamCancel &command) { upstreams.cancel(command); }
    void run(const UpstreamReadControl &command) { upstreams.setReading(command); }
    void run(const UpstreamProbe &command) { upstreams.probe(command); }
    void run(const PeerSend &command)
    {
        metrics.note(command);
        mesh.send(command.to, command.message);
    }

    void run(const TableTransaction &command) { store.run(command); }
    void run(const TableGet &command) { store.run(command); }
    void run(const TableScan &command) { store.run(command); }
    void run(const ObjectPut &command) { store.run(command); }
    void run(const ObjectGet &command) { store.run(command); }
    void run(const TicketSubmissionResult &command) { admin.ticketDecided(command); }
    void run(const EngineOrder &command) { upstreams.order(command); }
    void run(const Decision &command)
    {
        metrics.note(command);
        decisions.record(command);
    }

    void run(const RequestMetrics &command) { metrics.note(command); }

    void run(const StopCompleted &)
    {
        timer.cancel();
        stopped();
    }

    NodeIdentity identity;
    std::function<void()> stopped;
    SteadyClock clock;
    NodeLogic logic;
    DecisionLog decisions;
    NodeMetrics metrics;
    CallerServer callers;
    UpstreamClient upstreams;
    StoreClient store;
    Mesh mesh;
    AdminHandler admin;
    OperatorServer operators;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer drainTimer;
    std::deque<Event> events;
    bool busy = false;
    std::vector<MeshPeer> peers;
    CatalogPtr watchedCatalog;
    std::vector<UpstreamName> watchedNames;
};

EntryNode::EntryNode(Settings settings, boost::asio::io_context &context, std::function<void()> stopped)
    : state_(std::make_unique<State>(std::move(settings), context, std::move(stopped)))
{
}

EntryNode::~EntryNode() = default;

Result<Success> EntryNode::start()
{
    for (const Result<Success> &started :
         { state_->mesh.start(), state_->operators.start(), state_->callers.start() }) {
        if (!succeeded(started)) {
            return started;
        }
    }
    state_->store.start();
    state_->tick();
    return Success {};
}

void EntryNode::stop()
{
    state_->stop();
}

} // namespace GeraniumLever
