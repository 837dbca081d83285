#include "tests/servers/claims/claim_simulation.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Deadline = seconds(2);
constexpr std::size_t MaxCalls = 9;
/** Only registrations name no attempt. */
constexpr const char *NoAttempt = R"("attempt":"0000000000000000-0")";

NodeName nameOfNode(std::size_t node)
{
    return NodeName("node-" + std::to_string(node));
}

ProtocolStep after(ProtocolStep step)
{
    return static_cast<ProtocolStep>(static_cast<std::size_t>(step) + 1);
}

ProtocolStep stepOfWrite(const TableTransaction &transaction)
{
    const std::string &value = transaction.writes.front().value;
    if (value.find(R"("state":"claimed")") != std::string::npos) {
        return ProtocolStep::InsertApplied;
    }
    const bool releases = value.find(R"("state":"released")") != std::string::npos;
    if (releases && value.find(NoAttempt) != std::string::npos) {
        return ProtocolStep::RegisterApplied;
    }
    return releases ? ProtocolStep::ReleaseApplied : ProtocolStep::ResultApplied;
}

} // namespace

ClaimWorld::ClaimWorld(const FaultPlan &plan) : plan_(plan), random_(plan.seed)
{
    for (std::size_t node = 0; node < NodeCount; ++node) {
        start(node);
    }
}

RunReport ClaimWorld::run()
{
    send(0);
    for (std::size_t node = 0; node < NodeCount; ++node) {
        post(ProtocolStep::RequestArrives, node, Platform, seconds(4), [this, node] { send(node); });
    }
    runUntilQuiet();
    recovering_ = true;
    for (std::size_t node = 0; node < NodeCount; ++node) {
        runUntilQuiet();
        send(node);
    }
    runUntilQuiet();
    check();
    return report_;
}

void ClaimWorld::post(
    ProtocolStep step, std::size_t origin, std::size_t place, Duration latest, std::function<void()> perform)
{
    const Duration delay(static_cast<Duration::rep>(random_.below(static_cast<std::uint64_t>(latest.count()) + 1)));
    actions_.push_back({ step, origin, place, clock_.now() + delay, std::move(perform) });
}

void ClaimWorld::step()
{
    std::vector<std::size_t> ready;
    for (std::size_t index = 0; index < actions_.size(); ++index) {
        const Action &action = actions_[index];
        const bool frozen = action.place != Platform && nodes_[action.place].frozenUntil > clock_.now();
        if (action.due <= clock_.now() && !frozen) {
            ready.push_back(index);
        }
    }
    constexpr std::uint64_t AdvanceOneIn = 5;
    if (ready.empty() || random_.below(AdvanceOneIn) == 0) {
        advance();
        return;
    }
    const std::size_t chosen = ready[random_.below(ready.size())];
    ++sequence_;
    if (strike(actions_[chosen].step, actions_[chosen].origin)) {
        return;
    }
    const Action action = std::move(actions_[chosen]);
    actions_.erase(actions_.begin() + static_cast<std::ptrdiff_t>(chosen));
    action.perform();
}

void ClaimWorld::advance()
{
    clock_.advance(milliseconds(5) + milliseconds(random_.below(3) == 0 ? 60 : 0));
    for (std::size_t node = 0; node < NodeCount; ++node) {
        const bool runs = nodes_[node].claims != nullptr && nodes_[node].frozenUntil <= clock_.now();
        if (runs && !strike(ProtocolStep::Tick, node)) {
            input(node, [this](ClaimSystem &claims, Commands &commands) { claims.tick(clock_.now(), commands); });
        }
    }
}

void ClaimWorld::runUntilQuiet()
{
    const TimePoint limit = clock_.now() + seconds(60);
    while (!quiet() && clock_.now() < limit) {
        step();
    }
}

bool ClaimWorld::quiet() const
{
    const bool idle = std::all_of(nodes_.begin(), nodes_.end(), [this](const Node &node) {
        return node.claims != nullptr && node.frozenUntil <= clock_.now() && node.claims->unfinished() == 0;
    });
    return idle && actions_.empty()
        && std::all_of(calls_.begin(), calls_.end(), [](const Call &call) { return call.ended; });
}

bool ClaimWorld::strike(ProtocolStep step, std::size_t node)
{
    const std::uint64_t occurrence = report_.steps[static_cast<std::size_t>(step)]++;
    const bool due = plan_.step == step && occurrence == plan_.occurrence && nodes_[node].claims != nullptr;
    if (plan_.nodeFault == NodeFault::None || recovering_ || report_.nodeFaultStruck || !due) {
        return false;
    }
    report_.nodeFaultStruck = true;
    if (plan_.nodeFault == NodeFault::Crash) {
        crash(node);
    } else {
        const Duration pause = plan_.nodeFault == NodeFault::LongFreeze ? seconds(5) : milliseconds(400);
        nodes_[node].frozenUntil = clock_.now() + pause;
    }
    return true;
}

void ClaimWorld::crash(std::size_t node)
{
    nodes_[node].claims.reset();
    std::erase_if(actions_, [node](const Action &action) { return action.place == node; });
    for (Call &call : calls_) {
        if (call.node == node && !call.ended) {
            call.ended = true;
            call.endedAt = sequence_;
            repeatSomewhere();
        }
    }
    post(ProtocolStep::Tick, node, Platform, seconds(3), [this, node] { start(node); });
}

void ClaimWorld::start(std::size_t node)
{
    nodes_[node].incarnation = nodes_[node].incarnation.next();
    nodes_[node].claims =
        std::make_unique<ClaimSystem>(nameOfNode(node), nodes_[node].incarnation, nodes_[node].operations);
}

StoreFault ClaimWorld::faultFor(ProtocolStep step)
{
    constexpr std::uint64_t PlannedFaults = 2;
    std::uint64_t &struck = report_.storeFaults[static_cast<std::size_t>(step)];
    StoreFault fault = StoreFault::None;
    if (recovering_) {
        return fault;
    }
    if (plan_.storeFault != StoreFault::None && plan_.storeStep == step && struck < PlannedFaults) {
        fault = plan_.storeFault;
    } else if (plan_.storeFaultEvery != 0 && random_.below(plan_.storeFaultEvery) == 0) {
        fault = static_cast<StoreFault>(1 + random_.below(static_cast<std::uint64_t>(StoreFault::Count) - 1));
    }
    struck += fault == StoreFault::None ? 0 : 1;
    return fault;
}

void ClaimWorld::send(std::size_t node)
{
    const RequestId id(originHash(nameOfNode(node), nodes_[node].incarnation), calls_.size() + 1);
    calls_.push_back({ id, node, sequence_ });
    if (nodes_[node].claims == nullptr) {
        calls_.back().ended = true;
        calls_.back().endedAt = sequence_;
        return;
    }
    post(ProtocolStep::RequestArrives, node, node, milliseconds(2), [this, node, id] {
        callOf(id).deadline = clock_.now() + Deadline;
        const ClaimRequest request { id, TeamName("team"), "key", 42, callOf(id).deadline };
        input(node, [&](ClaimSystem &claims, Commands &commands) { claims.lookUp(request, clock_.now(), commands); });
    });
    constexpr std::uint64_t LeavesOneIn = 4;
    if (!recovering_ && random_.below(LeavesOneIn) == 0) {
        post(ProtocolStep::RequestArrives, node, Platform, seconds(2), [this, id] { leave(id); });
    }
}

/** The caller gives up, over a connection that has gone silent, so that the node does not notice. */
void ClaimWorld::leave(const RequestId &request)
{
    Call &call = callOf(request);
    if (call.ended) {
        return;
    }
    call.ended = true;
    call.left = true;
    call.endedAt = sequence_;
    repeatSomewhere();
}

void ClaimWorld::repeatSomewhere()
{
    if (calls_.size() < MaxCalls && !recovering_) {
        const std::size_t node = random_.below(NodeCount);
        post(ProtocolStep::RequestArrives, node, Platform, milliseconds(800), [this, node] { send(node); });
    }
}

ClaimWorld::Call &ClaimWorld::callOf(const RequestId &request)
{
    return *std::find_if(calls_.begin(), calls_.end(), [&](const Call &call) { return call.id == request; });
}

void ClaimWorld::tell(const RequestId &request, Outcome outcome, const RecordedAnswer *answer)
{
    Call &call = callOf(request);
    if (call.left) {
        return;
    }
    if (call.ended && plan_.mistake == Mistake::None) {
        report_.violations.push_back("a call was answered twice");
    }
    call.ended = true;
    call.endedAt = sequence_;
    call.told = outcome;
    if (answer != nullptr && (executions_.empty() || executions_.front().answer != *answer)) {
        report_.violations.push_back(OtherAnswer);
    }
    if (answer == nullptr && random_.below(2) == 0) {
        repeatSomewhere();
    }
}

void ClaimWorld::notRun(const RequestId &request, std::size_t node)
{
    input(node, [&](ClaimSystem &claims, Commands &commands) { claims.abandoned(request, clock_.now(), commands); });
    tell(request, Outcome::NotRun, nullptr);
}

void ClaimWorld::input(std::size_t node, const NodeInput &call, bool settling)
{
    if (nodes_[node].claims == nullptr) {
        return;
    }
    Commands commands;
    call(*nodes_[node].claims, commands);
    for (const Command &command : commands) {
        perform(node, command, settling);
    }
    for (const ClaimNotice &notice : nodes_[node].claims->takeNotices()) {
        handle(node, notice);
    }
}

void ClaimWorld::perform(std::size_t node, const Command &command, bool settling)
{
    if (const TableTransaction *transaction = std::get_if<TableTransaction>(&command)) {
        write(node, *transaction);
    } else if (const TableGet *get = std::get_if<TableGet>(&command)) {
        read(node, *get, settling);
    } else if (const ObjectPut *put = std::get_if<ObjectPut>(&command)) {
        storeObject(node, *put);
    } else if (const ObjectGet *object = std::get_if<ObjectGet>(&command)) {
        post(ProtocolStep::BodyRead, node, Platform, milliseconds(8), [this, node, object = *object] {
            const bool refused = faultFor(ProtocolStep::BodyRead) != StoreFault::None;
            StoreResult result { object.operation, refused ? StoreStatus::Unavailable : StoreStatus::Done, {}, {} };
            if (!refused && objects_.count(object.name) > 0) {
                result.content = objects_[object.name];
            }
            answer(ProtocolStep::BodyReadAnswered, node, result);
        });
    } else if (const PeerSend *peerSend = std::get_if<PeerSend>(&command)) {
        sendToPeer(node, *peerSend);
    }
}

void ClaimWorld::write(std::size_t node, const TableTransaction &transaction)
{
    const ProtocolStep step = stepOfWrite(transaction);
    post(step, node, Platform, milliseconds(8), [this, node, step, transaction] {
        StoreResult result { transaction.operation, StoreStatus::Done, {}, {} };
        switch (faultFor(step)) {
        case StoreFault::None:
        case StoreFault::Count:
            result.status = apply(transaction) ? StoreStatus::Done : StoreStatus::ConditionFailed;
            break;
        case StoreFault::Refused:
            result.status = StoreStatus::Unavailable;
            break;
        case StoreFault::AnswerLost:
            apply(transaction);
            result.status = StoreStatus::Ambiguous;
            break;
        case StoreFault::RequestLost:
            result.status = StoreStatus::Ambiguous;
            break;
        case StoreFault::LateEffect:
            post(step, node, Platform, seconds(9), [this, transaction] { apply(transaction); });
            result.status = StoreStatus::Ambiguous;
            break;
        }
        answer(after(step), node, result);
    });
}

void ClaimWorld::read(std::size_t node, const TableGet &get, bool settling)
{
    const ProtocolStep step = settling ? ProtocolStep::SettleRead : ProtocolStep::RowRead;
    post(step, node, Platform, milliseconds(8), [this, node, step, get] {
        StoreResult result { get.operation, StoreStatus::Done, {}, {} };
        if (faultFor(step) != StoreFault::None) {
            result.status = StoreStatus::Unavailable;
        } else if (rows_.count(get.keys.front()) > 0) {
            result.rows.push_back(rows_[get.keys.front()]);
        }
        answer(after(step), node, result);
    });
}

void ClaimWorld::storeObject(std::size_t node, const ObjectPut &put)
{
    post(ProtocolStep::BodyStored, node, Platform, milliseconds(8), [this, node, put] {
        const StoreFault fault = faultFor(ProtocolStep::BodyStored);
        if (fault == StoreFault::None || fault == StoreFault::AnswerLost) {
            objects_[put.name] = put.content;
        }
        const StoreStatus status = fault == StoreFault::None ? StoreStatus::Done : StoreStatus::Ambiguous;
        answer(ProtocolStep::BodyStoredAnswered, node, { put.operation, status, {}, {} });
    });
}

void ClaimWorld::answer(ProtocolStep step, std::size_t node, const StoreResult &result)
{
    if (nodes_[node].claims == nullptr) {
        return;
    }
    post(step, node, node, milliseconds(8), [this, node, step, result] {
        const bool ofWrite = step == ProtocolStep::InsertAnswered || step == ProtocolStep::ResultAnswered
            || step == ProtocolStep::ReleaseAnswered;
        input(
            node,
            [&](ClaimSystem &claims, Commands &commands) {
                claims.storeResultReceived(result, clock_.now(), commands);
            },
            ofWrite);
    });
}

bool ClaimWorld::apply(const TableTransaction &transaction)
{
    const TableWrite &write = transaction.writes.front();
    TableRow &row = rows_[write.key];
    const bool absent = write.condition.kind == TableCondition::Kind::Absent;
    const bool holds = absent ? row.version == 0 : row.version == write.condition.version;
    const bool mistaken =
        plan_.mistake == Mistake::ClaimsUnconditionally && stepOfWrite(transaction) == ProtocolStep::InsertApplied;
    if (!holds && !mistaken) {
        if (row.version == 0) {
            rows_.erase(write.key);
        }
        return false;
    }
    row = { write.key, write.value, row.version + 1 };
    for (Call &call : calls_) {
        const bool names = write.value.find("\"request\":\"" + call.id.text() + "\"") != std::string::npos;
        if (names && call.registeredAt == UINT64_MAX) {
            call.registeredAt = sequence_;
        }
    }
    return true;
}

void ClaimWorld::sendToPeer(std::size_t node, const PeerSend &send)
{
    std::size_t peer = 0;
    while (nameOfNode(peer) != send.to) {
        ++peer;
    }
    if (const ClaimReply *reply = std::get_if<ClaimReply>(&send.message)) {
        post(ProtocolStep::ReplyArrives, peer, peer, milliseconds(8), [this, node, peer, reply = *reply] {
            input(peer, [&](ClaimSystem &claims, Commands &commands) {
                claims.claimReplyReceived(nameOfNode(node), reply, clock_.now(), commands);
            });
        });
        return;
    }
    const ClaimQuery query = std::get<ClaimQuery>(send.message);
    constexpr std::uint64_t CutOneIn = 12;
    const bool cut = random_.below(CutOneIn) == 0 && !recovering_;
    const bool frozen = nodes_[peer].frozenUntil > clock_.now() && random_.below(2) == 0;
    if (nodes_[peer].claims == nullptr || cut || frozen) {
        peerUnreachable(node, peer, query);
        return;
    }
    post(ProtocolStep::QueryArrives, peer, peer, milliseconds(8), [this, node, peer, query] {
        input(peer, [&](ClaimSystem &claims, Commands &commands) {
            claims.claimQueryReceived(nameOfNode(node), query, commands);
        });
    });
}

void ClaimWorld::peerUnreachable(std::size_t node, std::size_t peer, const ClaimQuery &query)
{
    post(ProtocolStep::ReplyArrives, node, node, milliseconds(20), [this, node, peer, query] {
        input(node, [&](ClaimSystem &claims, Commands &commands) {
            if (plan_.mistake == Mistake::TakesUnreachableForAbandoned) {
                const ClaimReply guess { query.claimKey, query.attempt, ClaimStanding::Abandoned };
                claims.claimReplyReceived(nameOfNode(peer), guess, clock_.now(), commands);
            } else {
                claims.nodeLost(nameOfNode(peer), clock_.now(), commands);
            }
        });
    });
}

void ClaimWorld::handle(std::size_t node, const ClaimNotice &notice)
{
    constexpr std::uint64_t RefusedOneIn = 24;
    if (const ClaimAbsent *absent = std::get_if<ClaimAbsent>(&notice)) {
        const RequestId request = absent->request;
        post(ProtocolStep::SeatGranted, node, node, milliseconds(300), [this, node, request] {
            const bool mistaken = plan_.mistake == Mistake::SaysNotRunUnmarked && random_.below(2) == 0;
            if (mistaken) {
                tell(request, Outcome::NotRun, nullptr);
            } else if (!recovering_ && random_.below(RefusedOneIn) == 0) {
                notRun(request, node);
                return;
            }
            const AttemptId attempt(1, ++lastAttempt_);
            input(node, [&](ClaimSystem &claims, Commands &commands) {
                claims.claim(request, attempt, clock_.now(), commands);
            });
        });
    } else if (const ClaimHeld *held = std::get_if<ClaimHeld>(&notice)) {
        post(ProtocolStep::DispatchAsked, node, node, milliseconds(20), [this, node, request = held->request] {
            dispatch(node, request);
        });
    } else if (const ClaimReplay *replay = std::get_if<ClaimReplay>(&notice)) {
        tell(replay->request, Outcome::Answered, &replay->answer);
    } else {
        const ClaimRefused &refused = std::get<ClaimRefused>(notice);
        const bool unread = refused.error.code == ResultCode::ClaimStoreUnavailable;
        const bool mistaken = unread && plan_.mistake == Mistake::SaysNotRunUnread;
        tell(refused.request, mistaken ? Outcome::NotRun : refused.outcome, nullptr);
    }
}

void ClaimWorld::dispatch(std::size_t node, const RequestId &request)
{
    constexpr std::uint64_t NotConnectedOneIn = 24;
    bool allowed = false;
    input(node, [&](ClaimSystem &claims, Commands &commands) {
        allowed = claims.startDispatch(request, clock_.now(), commands);
    });
    if (allowed && clock_.now() >= callOf(request).deadline) {
        report_.violations.push_back("a call was dispatched after its deadline");
    }
    if (!allowed && plan_.mistake != Mistake::DispatchesAbandoned) {
        tell(request, Outcome::NotRun, nullptr);
        return;
    }
    if (allowed && !recovering_ && random_.below(NotConnectedOneIn) == 0) {
        notRun(request, node);
        return;
    }
    const Incarnation incarnation = nodes_[node].incarnation;
    post(ProtocolStep::ServiceExecutes, node, Platform, milliseconds(200), [this, node, incarnation, request] {
        execute(node, incarnation, request);
    });
}

void ClaimWorld::execute(std::size_t node, Incarnation incarnation, const RequestId &request)
{
    const std::size_t call = static_cast<std::size_t>(&callOf(request) - calls_.data());
    // Every third answer is not text, so that its body goes to the object store.
    const std::string body = std::to_string(executions_.size() + 1) + (random_.below(3) == 0 ? "\xff" : "");
    const RecordedAnswer answer { 200, "text/plain", body };
    executions_.push_back({ call, sequence_, answer });
    if (nodes_[node].claims == nullptr || nodes_[node].incarnation != incarnation) {
        return;
    }
    constexpr std::uint64_t BrokenOneIn = 24;
    const bool broken = !recovering_ && random_.below(BrokenOneIn) == 0;
    post(ProtocolStep::AnswerArrives, node, node, milliseconds(50), [this, node, request, answer, broken] {
        input(node, [&](ClaimSystem &claims, Commands &commands) {
            if (broken) {
                claims.outcomeUnknown(request, clock_.now(), commands);
            } else {
                claims.recordAnswer(request, answer, clock_.now(), commands);
            }
        });
        outcomeLost_ = outcomeLost_ || broken;
        tell(request, broken ? Outcome::Unknown : Outcome::Answered, broken ? nullptr : &answer);
    });
}

void ClaimWorld::check()
{
    if (!quiet()) {
        report_.violations.push_back("a call or a write about one never ends");
    }
    if (executions_.size() > 1) {
        report_.violations.push_back(RanTwice);
    }
    report_.executions = executions_.size();
    report_.calls = calls_.size();
    for (const Call &call : calls_) {
        report_.notRun += call.told == Outcome::NotRun ? 1 : 0;
        report_.unknown += call.told == Outcome::Unknown ? 1 : 0;
        report_.answered += call.told == Outcome::Answered ? 1 : 0;
        for (const Execution &execution : executions_) {
            const Call &executed = calls_[execution.call];
            // A call that was sent while the executed one was open may lose to it; one sent afterwards may not, unless
            // the executed one's caller has left, and its node came to it only later.
            const bool cameLater = executed.left && executed.registeredAt > call.registeredAt;
            const bool sentAfterwards = execution.at < call.sentAt || (executed.endedAt < call.sentAt && !cameLater);
            const bool isExecuted = &executed == &call;
            if (call.ended && call.told == Outcome::NotRun && (isExecuted || sentAfterwards)) {
                report_.violations.push_back(RunDenied);
            }
        }
    }
    const bool lasting = report_.nodeFaultStruck || outcomeLost_;
    if (!lasting && calls_.back().told != Outcome::Answered) {
        report_.violations.push_back("store faults alone left the key without an answer");
    }
}

} // namespace GeraniumLever
