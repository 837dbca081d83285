#include "tests/scenarios/scenario_world.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

#include <boost/algorithm/string.hpp>

namespace GeraniumLever {

namespace {

constexpr Duration StepTime = std::chrono::milliseconds(5);
constexpr Duration StartLimit = std::chrono::seconds(30);
constexpr Duration LoadReportPeriod = std::chrono::milliseconds(500);
constexpr Duration VmListPeriod = std::chrono::seconds(2);
constexpr const char *Store = "store";

std::string option(const std::map<std::string, std::string> &options, const std::string &name, const char *fallback)
{
    std::map<std::string, std::string>::const_iterator found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

std::uint32_t number(const std::map<std::string, std::string> &options, const std::string &name, const char *fallback)
{
    return static_cast<std::uint32_t>(std::stoul(option(options, name, fallback)));
}

} // namespace

ScenarioWorld::ScenarioWorld(const Scenario &scenario) : timeline(scenario.seed), seed_(scenario.seed)
{
    buildSite(scenario.site);
}

ScenarioWorld::~ScenarioWorld() = default;

void ScenarioWorld::buildSite(const std::map<std::string, std::string> &site)
{
    std::vector<std::string> dataCenters;
    std::string names = option(site, "data_centers", "a,b,c");
    boost::split(dataCenters, names, boost::is_any_of(","));
    for (const std::string &dataCenter : dataCenters) {
        for (std::uint32_t index = 1; index <= number(site, "nodes", "3"); ++index) {
            std::string name = dataCenter + std::to_string(index);
            ScenarioNode &node = nodes[name];
            node.address = { NodeName(name), DataCenterName(dataCenter), name + ":mesh", name + ":caller" };
        }
        for (std::uint32_t index = 1; index <= number(site, "engines", "2"); ++index) {
            addUpstream("engine-" + dataCenter + std::to_string(index), dataCenter, true, number(site, "seats", "4"));
        }
        for (std::uint32_t index = 1; index <= number(site, "services", "1"); ++index) {
            addUpstream("desk-" + dataCenter + std::to_string(index), dataCenter, false, 8);
        }
    }
}

void ScenarioWorld::addUpstream(const std::string &name,
                                const std::string &dataCenter,
                                bool engine,
                                std::uint32_t seats)
{
    Upstream entity;
    entity.name = UpstreamName(name);
    entity.pool = PoolName(engine ? "letters" : "desk");
    entity.dataCenter = DataCenterName(dataCenter);
    entity.address = "127.0.0.1:" + std::to_string(9000 + upstreams.size());
    entity.seats = seats;
    upstreams[name] = std::make_unique<FakeUpstream>(entity, engine, timeline);
}

std::string ScenarioWorld::firstTicket() const
{
    std::ostringstream text;
    text << "number: 1\nauthor: scenario\nchanges:\n"
            "  - {kind: class, name: live, tier: 0, first_token_target_ms: 880, default_deadline_ms: 10000}\n"
            "  - {kind: class, name: bulk, tier: 3, preemptible: true, default_deadline_ms: 600000}\n"
            "  - {kind: class, name: debit, tier: 1, idempotent: false, default_deadline_ms: 5000}\n"
            "  - {kind: model, name: large}\n"
            "  - {kind: pool, name: letters, model: large}\n"
            "  - {kind: pool, name: desk, service: desk}\n"
            "  - {kind: team, name: union, key_hashes: ["
         << std::string(64, 'a') << "]}\n";
    for (const auto &[name, upstream] : upstreams) {
        text << "  - {kind: upstream, name: " << name << ", pool: " << upstream->entity().pool.text()
             << ", data_center: " << upstream->entity().dataCenter.text() << ", address: \""
             << upstream->entity().address << "\", seats: " << upstream->entity().seats << "}\n";
    }
    return text.str();
}

bool ScenarioWorld::start()
{
    for (auto &[name, node] : nodes) {
        startNode(node);
    }
    timeline.after(LoadReportPeriod, [this]() { pollLoadReports(); });
    timeline.after(VmListPeriod, [this]() { sendVmList(); });
    TimePoint limit = now() + StartLimit;
    bool submitted = false;
    while (now() < limit) {
        step();
        bool ready =
            std::all_of(nodes.begin(), nodes.end(), [](const auto &entry) { return entry.second.logic->ready(); });
        bool inForce = std::all_of(nodes.begin(), nodes.end(), [](const auto &entry) {
            return entry.second.logic->tickets().standing().head == TicketNumber(1);
        });
        if (ready && inForce) {
            return true;
        }
        if (ready && !submitted) {
            submitted = true;
            submitTicket(nodes.begin()->second, 1, firstTicket());
        }
    }
    return false;
}

void ScenarioWorld::step()
{
    timeline.step(StepTime);
    for (auto &[name, node] : nodes) {
        if (!node.up || node.frozen) {
            continue;
        }
        Commands commands;
        node.logic->tick(now(), commands);
        executeCommands(node, commands);
    }
    checkInvariants();
}

std::vector<ScenarioNode *> ScenarioWorld::nodesOf(const std::string &spec)
{
    std::vector<ScenarioNode *> found;
    std::size_t at = spec.find('@');
    std::string kind = spec.substr(0, at);
    std::string dataCenter = at == std::string::npos ? std::string() : spec.substr(at + 1);
    std::optional<NodeName> scheduler;
    for (auto &[name, node] : nodes) {
        if (node.up && node.address.dataCenter.text() == dataCenter && !scheduler) {
            ShardKey shard { node.address.dataCenter, PoolName(kind == "desk_scheduler" ? "desk" : "letters"), 0 };
            scheduler = node.logic->membership().schedulerFor(shard);
        }
    }
    for (auto &[name, node] : nodes) {
        bool isScheduler = scheduler == node.address.node;
        bool inDataCenter = node.address.dataCenter.text() == dataCenter;
        bool other = kind == "other" && node.up && inDataCenter && !isScheduler;
        bool every = spec == "all" || (kind == "all" && inDataCenter);
        bool any = spec == "any" && node.up && node.logic->ready();
        if (spec == name || (kind.ends_with("scheduler") && isScheduler) || other || every || any) {
            found.push_back(&node);
        }
    }
    if (found.empty()) {
        throw std::runtime_error("no node matches " + spec);
    }
    return found;
}

std::vector<FakeUpstream *> ScenarioWorld::upstreamsOf(const std::string &spec)
{
    std::vector<FakeUpstream *> found;
    for (auto &[name, upstream] : upstreams) {
        bool engine = spec == "engines" && upstream->isEngine();
        bool service = spec == "services" && !upstream->isEngine();
        if (spec == name || engine || service) {
            found.push_back(upstream.get());
        }
    }
    if (found.empty()) {
        throw std::runtime_error("no upstream matches " + spec);
    }
    return found;
}

void ScenarioWorld::startNode(ScenarioNode &node)
{
    NodeIdentity identity;
    identity.address = node.address;
    node.incarnation = nextIncarnation_++;
    identity.incarnation = Incarnation(node.incarnation);
    identity.meshKey = "key";
    identity.seed = seed_ * 1000 + node.incarnation;
    for (const auto &[name, other] : nodes) {
        if (name != node.address.node.text()) {
            identity.seeds.push_back(other.address);
        }
    }
    node.logic = std::make_unique<NodeLogic>(identity);
    node.up = true;
    node.frozen = false;
    node.stopped = false;
    node.heldEvents.clear();
}

void ScenarioWorld::kill(ScenarioNode &node)
{
    log.push_back("kill " + node.address.node.text());
    node.up = false;
    node.frozen = false;
    for (auto &[request, origin] : origins_) {
        bool here = request.origin() == originHash(node.address.node, Incarnation(node.incarnation));
        if (here && origin.call != nullptr) {
            origin.call->cut(now());
        } else if (here && origin.node != nullptr) {
            deliver(
                *origin.node, origin.incarnation, UpstreamFailure { origin.attempt, UpstreamFailure::Kind::Broken });
            origin.node = nullptr;
        } else if (origin.node == &node) {
            origin.node = nullptr;
        }
    }
    for (auto &[name, upstream] : upstreams) {
        upstream->cancelAllOf(node.address.node);
    }
}

void ScenarioWorld::thaw(ScenarioNode &node)
{
    node.frozen = false;
    std::vector<Event> heldEvents;
    heldEvents.swap(node.heldEvents);
    for (const Event &event : heldEvents) {
        handle(node, event);
    }
}

void ScenarioWorld::stop(ScenarioNode &node)
{
    deliver(node, node.incarnation, StopRequested {});
}

void ScenarioWorld::partition(const std::string &left, const std::string &right, bool cut)
{
    for (const std::pair<std::string, std::string> &pair :
         { std::make_pair(left, right), std::make_pair(right, left) }) {
        if (cut) {
            cutConnections_.insert(pair);
        } else {
            cutConnections_.erase(pair);
        }
    }
}

bool ScenarioWorld::connected(const std::string &left, const std::string &right) const
{
    return cutConnections_.count({ left, right }) == 0;
}

void ScenarioWorld::submitTicket(ScenarioNode &node, std::uint64_t id, const std::string &text)
{
    deliver(node, node.incarnation, TicketSubmission { OperationId(id), text });
}

void ScenarioWorld::call(ScenarioCall call, ScenarioNode &node, CallerRequest request)
{
    request.request = RequestId(originHash(node.address.node, Incarnation(node.incarnation)), ++node.requests);
    call.request = request.request;
    call.node = node.address.node;
    call.startedAt = now();
    calls.push_back(std::make_unique<ScenarioCall>(std::move(call)));
    if (!node.up) {
        calls.back()->cut(now());
        return;
    }
    Origin origin;
    origin.call = calls.back().get();
    origin.originalRequest = request.request;
    origins_[request.request] = origin;
    deliver(node, node.incarnation, request);
}

void ScenarioWorld::deliver(ScenarioNode &node, std::uint64_t incarnation, const Event &event)
{
    if (!node.up || node.incarnation != incarnation) {
        return;
    }
    if (node.frozen) {
        node.heldEvents.push_back(event);
        return;
    }
    handle(node, event);
}

void ScenarioWorld::handle(ScenarioNode &node, const Event &event)
{
    Commands commands;
    node.logic->handle(event, now(), commands);
    executeCommands(node, commands);
}

void ScenarioWorld::pollLoadReports()
{
    for (auto &[name, node] : nodes) {
        if (!node.up || node.frozen) {
            continue;
        }
        for (const UpstreamName &watched : node.logic->watchedUpstreams()) {
            std::map<std::string, std::unique_ptr<FakeUpstream>>::iterator upstream = upstreams.find(watched.text());
            if (upstream == upstreams.end() || !upstream->second->answersProbe()) {
                continue;
            }
            LoadReport report = upstream->second->report();
            std::uint64_t incarnation = node.incarnation;
            ScenarioNode *watcher = &node;
            timeline.after(loadReportLag,
                           [this, watcher, incarnation, report]() { deliver(*watcher, incarnation, report); });
        }
    }
    timeline.after(LoadReportPeriod, [this]() { pollLoadReports(); });
}

void ScenarioWorld::sendVmList()
{
    VmList list;
    for (const auto &[name, node] : nodes) {
        list.entries.push_back({ name, node.address.meshAddress, node.address.dataCenter, true, false });
    }
    for (const auto &[name, upstream] : upstreams) {
        const Upstream &entity = upstream->entity();
        list.entries.push_back({ name, entity.address, entity.dataCenter, false, leavingInVmList.count(name) > 0 });
    }
    for (auto &[name, node] : nodes) {
        std::uint64_t incarnation = node.incarnation;
        ScenarioNode *reader = &node;
        timeline.after(vmListLag, [this, reader, incarnation, list]() {
            if (connected(reader->address.node.text(), Store) && storeFault.kind != StoreFault::Kind::Down) {
                deliver(*reader, incarnation, list);
            }
        });
    }
    timeline.after(VmListPeriod, [this]() { sendVmList(); });
}

void ScenarioWorld::checkInvariants()
{
    for (auto &[name, node] : nodes) {
        if (!node.up) {
            continue;
        }
        TicketNumber head = node.logic->tickets().standing().head;
        TicketNumber &ofIncarnation = headOfIncarnation_[node.incarnation];
        if (head < ofIncarnation || (node.logic->ready() && head < node.highestHead)) {
            invariantViolations.push_back("the head of " + name + " decreased to " + std::to_string(head.value()));
        }
        ofIncarnation = std::max(ofIncarnation, head);
        node.highestHead = std::max(node.highestHead, head);
    }
}

RequestId ScenarioWorld::originalRequestOf(const RequestId &request) const
{
    std::map<RequestId, Origin>::const_iterator origin = origins_.find(request);
    return origin == origins_.end() ? request : origin->second.originalRequest;
}

} // namespace GeraniumLever
