#include <boost/json/serialize.hpp>

#include "tests/scenarios/scenario_world.h"

namespace GeraniumLever {

namespace {

constexpr Duration SameDataCenterLatency = std::chrono::microseconds(300);
constexpr Duration OtherDataCenterLatency = std::chrono::milliseconds(1);
constexpr Duration StoreLatency = std::chrono::milliseconds(4);
constexpr Duration StoreTimeout = std::chrono::seconds(2);
constexpr Duration LateWriteDelay = std::chrono::seconds(4);
/** A node detects a cut connection this long after the first message that was lost on it. */
constexpr Duration CutDetectionDelay = std::chrono::seconds(3);
constexpr Duration ProbeLimit = std::chrono::seconds(1);
constexpr std::size_t MaxLogLines = 60;

StoreResult resultOf(OperationId operation, StoreStatus status)
{
    StoreResult result;
    result.operation = operation;
    result.status = status;
    return result;
}

std::string errorBody(const ReplyError &error)
{
    boost::json::object detail { { "code", static_cast<unsigned>(error.error.code) },
                                 { "name", resultCodeName(error.error.code) },
                                 { "outcome", outcomeName(error.outcome) } };
    return boost::json::serialize(boost::json::object { { "error", std::move(detail) } });
}

} // namespace

void ScenarioWorld::executeCommands(ScenarioNode &node, Commands &commands)
{
    for (const Command &command : commands) {
        std::visit([this, &node](const auto &value) { run(node, value); }, command);
    }
}

void ScenarioWorld::run(ScenarioNode &node, const PeerSend &command)
{
    std::map<std::string, ScenarioNode>::iterator found = nodes.find(command.to.text());
    std::uint64_t incarnation = node.incarnation;
    const NodeName to = command.to;
    if (found == nodes.end() || !found->second.up) {
        timeline.after(SameDataCenterLatency,
                       [this, &node, incarnation, to]() { deliver(node, incarnation, PeerLost { to }); });
        return;
    }
    ScenarioNode &peer = found->second;
    if (!connected(node.address.node.text(), to.text())) {
        timeline.after(CutDetectionDelay,
                       [this, &node, incarnation, to]() { deliver(node, incarnation, PeerLost { to }); });
        return;
    }
    bool sameDataCenter = node.address.dataCenter == peer.address.dataCenter;
    std::uint64_t peerIncarnation = peer.incarnation;
    timeline.after(sameDataCenter ? SameDataCenterLatency : OtherDataCenterLatency,
                   [this, &peer, peerIncarnation, from = node.address.node, message = command.message]() {
                       deliver(peer, peerIncarnation, PeerReceived { from, message });
                   });
}

void ScenarioWorld::run(ScenarioNode &node, const UpstreamDispatch &command)
{
    std::map<std::string, ScenarioNode>::iterator target = nodes.find(command.target);
    if (target != nodes.end()) {
        forward(node, target->second, command);
        return;
    }
    UpstreamDispatch dispatch = command;
    dispatch.request = originalRequestOf(command.request);
    std::uint64_t incarnation = node.incarnation;
    upstreams.at(command.target)->dispatch(dispatch, node.address.node, [this, &node, incarnation](const Event &event) {
        deliver(node, incarnation, event);
    });
}

void ScenarioWorld::forward(ScenarioNode &node, ScenarioNode &target, const UpstreamDispatch &command)
{
    std::uint64_t incarnation = node.incarnation;
    bool reachable = target.up && connected(node.address.node.text(), target.address.node.text());
    if (!reachable) {
        UpstreamFailure failure { command.attempt, UpstreamFailure::Kind::NotConnected };
        timeline.after(OtherDataCenterLatency,
                       [this, &node, incarnation, failure]() { deliver(node, incarnation, failure); });
        return;
    }
    CallerRequest request;
    request.request = RequestId(originHash(target.address.node, Incarnation(target.incarnation)), ++target.requests);
    request.method = command.method;
    request.target = command.path;
    request.contentType = command.contentType;
    request.body = command.body;
    request.forwarded = true;
    for (const HeaderField &field : command.headers) {
        if (field.name == "geranium-class") {
            request.requestClass = ClassName(field.value);
        } else if (field.name == "geranium-forwarded-team") {
            request.forwardedTeam = TeamName(field.value);
        } else if (field.name == "idempotency-key") {
            request.idempotencyKey = field.value;
        } else if (field.name == "geranium-deadline-ms") {
            request.deadline = std::chrono::milliseconds(std::stoll(field.value));
        }
    }
    Origin origin;
    origin.node = &node;
    origin.incarnation = incarnation;
    origin.attempt = command.attempt;
    origin.originalRequest = originalRequestOf(command.request);
    origins_[request.request] = origin;
    std::uint64_t targetIncarnation = target.incarnation;
    timeline.after(OtherDataCenterLatency,
                   [this, &target, targetIncarnation, request]() { deliver(target, targetIncarnation, request); });
}

void ScenarioWorld::run(ScenarioNode &, const UpstreamCancel &command)
{
    for (auto &[name, upstream] : upstreams) {
        upstream->cancel(command.attempt);
    }
    for (auto &[request, origin] : origins_) {
        if (origin.node != nullptr && origin.attempt == command.attempt) {
            origin.node = nullptr;
            for (auto &[name, target] : nodes) {
                bool there = request.origin() == originHash(target.address.node, Incarnation(target.incarnation));
                std::uint64_t incarnation = target.incarnation;
                if (there) {
                    ScenarioNode *server = &target;
                    CallerGone gone { request };
                    timeline.after(OtherDataCenterLatency,
                                   [this, server, incarnation, gone]() { deliver(*server, incarnation, gone); });
                }
            }
        }
    }
}

void ScenarioWorld::run(ScenarioNode &node, const UpstreamProbe &command)
{
    bool answered = upstreams.at(command.upstream.text())->answersProbe();
    std::uint64_t incarnation = node.incarnation;
    timeline.after(answered ? OtherDataCenterLatency : ProbeLimit,
                   [this, &node, incarnation, result = ProbeResult { command.upstream, answered }]() {
                       deliver(node, incarnation, result);
                   });
}

void ScenarioWorld::run(ScenarioNode &, const TicketSubmissionResult &command)
{
    verdicts[command.operation.value()] = succeeded(command.result);
    if (!succeeded(command.result)) {
        log.push_back("ticket refused: " + errorOf(command.result).message);
    }
}

void ScenarioWorld::run(ScenarioNode &node, const Decision &command)
{
    std::string line = std::to_string(toMilliseconds(now().time_since_epoch())) + "ms " + node.address.node.text() + " "
        + command.kind;
    std::string requestClass;
    for (const auto &[name, value] : command.fields) {
        line += " " + name + "=" + value;
        if (name == "class") {
            requestClass = value;
        }
    }
    ++decisions[command.kind + " " + requestClass];
    log.push_back(std::move(line));
    if (log.size() > MaxLogLines) {
        log.pop_front();
    }
}

void ScenarioWorld::run(ScenarioNode &node, const StopCompleted &)
{
    node.stopped = true;
    // The process exits after the remaining commands of this batch have been executed.
    std::uint64_t incarnation = node.incarnation;
    timeline.after(Duration(0), [this, &node, incarnation]() {
        if (node.up && node.incarnation == incarnation) {
            kill(node);
        }
    });
}

template<typename Operation>
void ScenarioWorld::read(ScenarioNode &node, const Operation &operation)
{
    std::uint64_t incarnation = node.incarnation;
    bool reachable = storeFault.kind != StoreFault::Kind::Down && connected(node.address.node.text(), "store");
    timeline.afterJittered(StoreLatency, [this, &node, incarnation, operation, reachable]() {
        StoreResult result =
            reachable ? store_.run(operation) : resultOf(operation.operation, StoreStatus::Unavailable);
        deliver(node, incarnation, result);
    });
}

template<typename Operation>
void ScenarioWorld::write(ScenarioNode &node, const Operation &operation)
{
    StoreFault fault = storeFault;
    if (fault.count > 0 && --storeFault.count == 0) {
        storeFault = {};
    }
    std::uint64_t incarnation = node.incarnation;
    bool losesAnswer = fault.kind == StoreFault::Kind::LoseBefore || fault.kind == StoreFault::Kind::LoseAfter
        || fault.kind == StoreFault::Kind::Late;
    if (!losesAnswer) {
        read(node, operation);
        return;
    }
    timeline.after(StoreTimeout, [this, &node, incarnation, id = operation.operation]() {
        deliver(node, incarnation, resultOf(id, StoreStatus::Ambiguous));
    });
    if (fault.kind != StoreFault::Kind::LoseBefore) {
        timeline.after(fault.kind == StoreFault::Kind::Late ? LateWriteDelay : StoreLatency,
                       [this, operation]() { store_.run(operation); });
    }
}

void ScenarioWorld::run(ScenarioNode &node, const TableTransaction &command)
{
    write(node, command);
}

void ScenarioWorld::run(ScenarioNode &node, const ObjectPut &command)
{
    write(node, command);
}

void ScenarioWorld::run(ScenarioNode &node, const TableGet &command)
{
    read(node, command);
}

void ScenarioWorld::run(ScenarioNode &node, const TableScan &command)
{
    read(node, command);
}

void ScenarioWorld::run(ScenarioNode &node, const ObjectGet &command)
{
    read(node, command);
}

template<typename Reply>
void ScenarioWorld::reply(const Reply &command)
{
    std::map<RequestId, Origin>::iterator found = origins_.find(command.request);
    if (found == origins_.end()) {
        invariantViolations.push_back("reply to an unknown request: " + command.request.text());
        return;
    }
    if (found->second.call != nullptr) {
        found->second.call->receive(command, now());
    }
}

void ScenarioWorld::run(ScenarioNode &, const ReplyHead &command)
{
    reply(command);
    Origin &origin = origins_[command.request];
    origin.streamed = command.streamed;
    if (origin.node == nullptr) {
        return;
    }
    UpstreamHead head;
    head.attempt = origin.attempt;
    head.status = command.status;
    head.contentType = command.contentType;
    head.outcome = command.outcome ? std::string(outcomeName(*command.outcome)) : std::string();
    head.retryAfter = command.retryAfter;
    head.replayed = command.replayed;
    timeline.after(OtherDataCenterLatency, [this, origin, head]() { deliver(*origin.node, origin.incarnation, head); });
}

void ScenarioWorld::run(ScenarioNode &, const ReplyData &command)
{
    reply(command);
    Origin &origin = origins_[command.request];
    if (origin.node != nullptr) {
        timeline.after(OtherDataCenterLatency, [this, origin, data = command.data]() {
            deliver(*origin.node, origin.incarnation, UpstreamData { origin.attempt, data });
        });
    }
}

void ScenarioWorld::run(ScenarioNode &, const ReplyEnd &command)
{
    reply(command);
    Origin &origin = origins_[command.request];
    if (origin.node != nullptr) {
        timeline.after(OtherDataCenterLatency,
                       [this, origin]() { deliver(*origin.node, origin.incarnation, UpstreamEnd { origin.attempt }); });
        origin.node = nullptr;
    }
}

void ScenarioWorld::run(ScenarioNode &, const ReplyError &command)
{
    reply(command);
    Origin &origin = origins_[command.request];
    if (origin.node == nullptr) {
        return;
    }
    UpstreamHead head;
    head.attempt = origin.attempt;
    head.status = httpStatusFor(command.error.code);
    head.contentType = "application/json";
    head.outcome = std::string(outcomeName(command.outcome));
    head.retryAfter = command.error.retryAfter;
    bool needsHead = !origin.streamed;
    timeline.after(OtherDataCenterLatency, [this, origin, head, needsHead, body = errorBody(command)]() {
        if (needsHead) {
            deliver(*origin.node, origin.incarnation, head);
        }
        deliver(*origin.node, origin.incarnation, UpstreamData { origin.attempt, body });
        deliver(*origin.node, origin.incarnation, UpstreamEnd { origin.attempt });
    });
    origin.node = nullptr;
}

} // namespace GeraniumLever
