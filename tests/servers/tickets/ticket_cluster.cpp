#include "tests/servers/tickets/ticket_cluster.h"

#include <algorithm>

#include "servers/tickets/ticket_rows.h"

namespace GeraniumLever {

namespace {

constexpr Duration LateEffectDelay = std::chrono::seconds(2);

Duration delayBelow(RandomSource &random, Duration bound)
{
    return Duration(static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(bound.count()))));
}

} // namespace

TicketCluster::TicketCluster(std::size_t dataCenters, std::size_t nodesEach, std::uint64_t seed) : random_(seed)
{
    for (std::size_t dataCenter = 0; dataCenter < dataCenters; ++dataCenter) {
        for (std::size_t index = 0; index < nodesEach; ++index) {
            const std::string place = std::string(1, static_cast<char>('a' + dataCenter));
            const NodeName name(place + std::to_string(index));
            addresses_.push_back(NodeAddress { name, DataCenterName(place), "127.0.0.1:1", "" });
        }
    }
    for (const NodeAddress &address : addresses_) {
        Node &node = nodes_[address.node];
        node.address = address;
        start(node);
    }
}

void TicketCluster::run(Duration duration)
{
    for (Duration passed {}; passed < duration; passed += Step) {
        tick();
    }
}

bool TicketCluster::runUntil(Duration limit, const std::function<bool()> &condition)
{
    for (Duration passed {}; passed < limit; passed += Step) {
        if (condition()) {
            return true;
        }
        tick();
    }
    return condition();
}

std::uint64_t TicketCluster::submit(const std::string &node, const std::string &text)
{
    Node &target = nodes_.at(NodeName(node));
    Commands commands;
    // Verdicts of different nodes share one list, so that the operation is made unique across nodes.
    target.tickets->submitted(TicketSubmission { OperationId(++lastSubmission_), text }, clock_.now(), commands);
    const std::uint64_t submission = lastSubmission_;
    carryOut(target, std::move(commands));
    return submission;
}

const Result<TicketNumber> *TicketCluster::verdict(std::uint64_t submission) const
{
    const std::map<std::uint64_t, Result<TicketNumber>>::const_iterator found = verdicts_.find(submission);
    return found == verdicts_.end() ? nullptr : &found->second;
}

void TicketCluster::restart(const std::string &node)
{
    start(nodes_.at(NodeName(node)));
}

void TicketCluster::kill(const std::string &node)
{
    nodes_.at(NodeName(node)).alive = false;
}

void TicketCluster::setPlatform(const std::string &dataCenter, bool reachable)
{
    if (reachable) {
        cutPlatforms_.erase(DataCenterName(dataCenter));
    } else {
        cutPlatforms_.insert(DataCenterName(dataCenter));
    }
}

void TicketCluster::setLink(const std::string &one, const std::string &other, bool connected)
{
    const std::pair link(DataCenterName(std::min(one, other)), DataCenterName(std::max(one, other)));
    if (connected) {
        cutLinks_.erase(link);
    } else {
        cutLinks_.insert(link);
    }
}

void TicketCluster::healAll()
{
    cutLinks_.clear();
    cutPlatforms_.clear();
    answers = Answers::Normal;
}

TicketSystem &TicketCluster::tickets(const std::string &node)
{
    return *nodes_.at(NodeName(node)).tickets;
}

bool TicketCluster::inForceEverywhere(std::uint64_t number) const
{
    return std::all_of(nodes_.begin(), nodes_.end(), [number](const std::pair<const NodeName, Node> &entry) {
        return !entry.second.alive || entry.second.tickets->standing().head >= TicketNumber(number);
    });
}

std::size_t TicketCluster::decisions(const std::string &kind) const
{
    const std::map<std::string, std::size_t>::const_iterator found = decisions_.find(kind);
    return found == decisions_.end() ? 0 : found->second;
}

std::vector<std::string> TicketCluster::nodeNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, node] : nodes_) {
        names.push_back(name.text());
    }
    return names;
}

void TicketCluster::deliver(const std::string &to, const NodeName &from, const PeerMessage &message)
{
    receive(nodes_.at(NodeName(to)), from, message);
}

void TicketCluster::start(Node &node)
{
    const std::uint64_t incarnation = ++incarnations_[node.address.node];
    node.operations = std::make_unique<OperationCounter>();
    node.membership = std::make_unique<MembershipSystem>(node.address, Incarnation(incarnation), addresses_);
    node.tickets = std::make_unique<TicketSystem>(node.address.node, *node.operations, random_.engine()());
    node.highest = TicketNumber();
    node.checked = nullptr;
    node.alive = true;
}

void TicketCluster::tick()
{
    clock_.advance(Step);
    while (!lateEffects_.empty() && lateEffects_.front().at <= clock_.now()) {
        store.execute(lateEffects_.front().transaction);
        lateEffects_.pop_front();
    }
    std::deque<Answer> waitingAnswers;
    waitingAnswers.swap(answers_);
    for (Answer &answer : waitingAnswers) {
        Node &node = nodes_.at(answer.to);
        if (answer.at > clock_.now()) {
            answers_.push_back(std::move(answer));
        } else if (node.alive && incarnations_.at(answer.to) == answer.incarnation) {
            Commands commands;
            node.tickets->storeResultReceived(answer.result, clock_.now(), commands);
            carryOut(node, std::move(commands));
        }
    }
    std::deque<Delivery> waiting;
    waiting.swap(deliveries_);
    for (Delivery &delivery : waiting) {
        Node &node = nodes_.at(delivery.to);
        if (delivery.at > clock_.now()) {
            deliveries_.push_back(std::move(delivery));
        } else if (node.alive) {
            receive(node, delivery.from, delivery.message);
        }
    }
    for (auto &[name, node] : nodes_) {
        if (!node.alive) {
            continue;
        }
        Commands commands;
        const TicketStatus standing = node.tickets->standing();
        const NodeState state = standing.caughtUp ? NodeState::Ready : NodeState::Starting;
        node.membership->tick(
            SelfDescription { state, standing.head, standing.digest, standing.epoch, {} }, clock_.now(), commands);
        node.tickets->tick(node.membership->isDelegate(), node.membership->pushTargets(), clock_.now(), commands);
        carryOut(node, std::move(commands));
        check(node);
    }
}

void TicketCluster::receive(Node &node, const NodeName &from, const PeerMessage &message)
{
    Commands commands;
    if (const Heartbeat *heartbeat = std::get_if<Heartbeat>(&message)) {
        node.membership->heartbeatReceived(*heartbeat, clock_.now());
        node.tickets->heartbeatReceived(*heartbeat, clock_.now(), commands);
    } else if (const TicketBatch *batch = std::get_if<TicketBatch>(&message)) {
        node.tickets->batchReceived(from, *batch, clock_.now(), commands);
    } else if (const TicketFetch *fetch = std::get_if<TicketFetch>(&message)) {
        node.tickets->fetchReceived(from, *fetch, commands);
    } else if (const Snapshot *snapshot = std::get_if<Snapshot>(&message)) {
        node.tickets->snapshotReceived(from, *snapshot, clock_.now(), commands);
    } else if (std::holds_alternative<SnapshotFetch>(message)) {
        node.tickets->snapshotRequested(from, commands);
    }
    carryOut(node, std::move(commands));
    check(node);
}

void TicketCluster::carryOut(Node &node, Commands commands)
{
    for (Command &command : commands) {
        if (const PeerSend *send = std::get_if<PeerSend>(&command)) {
            const std::map<NodeName, Node>::const_iterator target = nodes_.find(send->to);
            if (target == nodes_.end() || !connected(node, target->second)) {
                continue;
            }
            const Duration delay = delayBelow(random_, std::chrono::milliseconds(60));
            deliveries_.push_back(Delivery { clock_.now() + delay, node.address.node, send->to, send->message });
        } else if (const TicketSubmissionResult *verdict = std::get_if<TicketSubmissionResult>(&command)) {
            verdicts_.emplace(verdict->operation.value(), verdict->result);
        } else if (const Decision *decision = std::get_if<Decision>(&command)) {
            ++decisions_[decision->kind];
        } else {
            StoreResult result = ask(node, command);
            const Duration delay = result.status == StoreStatus::Ambiguous
                ? std::chrono::seconds(1)
                : delayBelow(random_, std::chrono::milliseconds(100));
            answers_.push_back(Answer {
                clock_.now() + delay, node.address.node, incarnations_.at(node.address.node), std::move(result) });
        }
    }
}

StoreResult TicketCluster::ask(const Node &node, const Command &command)
{
    const bool reachable = cutPlatforms_.count(node.address.dataCenter) == 0;
    const StoreStatus status = reachable ? StoreStatus::Done : StoreStatus::Unavailable;
    if (const TableTransaction *transaction = std::get_if<TableTransaction>(&command)) {
        return reachable ? transact(*transaction) : StoreResult { transaction->operation, status, {}, std::nullopt };
    }
    if (const TableGet *get = std::get_if<TableGet>(&command)) {
        return { get->operation, status, reachable ? store.read(*get) : std::vector<TableRow>(), std::nullopt };
    }
    if (const TableScan *scan = std::get_if<TableScan>(&command)) {
        return { scan->operation, status, reachable ? store.read(*scan) : std::vector<TableRow>(), std::nullopt };
    }
    if (const ObjectPut *put = std::get_if<ObjectPut>(&command)) {
        if (reachable) {
            store.objects[put->name] = put->content;
        }
        return { put->operation, status, {}, std::nullopt };
    }
    const ObjectGet &get = std::get<ObjectGet>(command);
    StoreResult result { get.operation, status, {}, std::nullopt };
    if (reachable && store.objects.count(get.name) > 0) {
        result.content = store.objects.at(get.name);
    }
    return result;
}

StoreResult TicketCluster::transact(const TableTransaction &transaction)
{
    switch (answers) {
    case Answers::Normal:
        return { transaction.operation, store.execute(transaction), {}, std::nullopt };
    case Answers::LostAfterEffect:
        store.execute(transaction);
        break;
    case Answers::LostBeforeEffect:
        lateEffects_.push_back(LateEffect { clock_.now() + LateEffectDelay, transaction });
        break;
    }
    return { transaction.operation, StoreStatus::Ambiguous, {}, std::nullopt };
}

bool TicketCluster::connected(const Node &node, const Node &target) const
{
    const DataCenterName &one = node.address.dataCenter;
    const DataCenterName &other = target.address.dataCenter;
    if (cutLinks_.count(std::pair(std::min(one, other), std::max(one, other))) > 0) {
        return false;
    }
    // The mesh has connections only to the peers that membership names.
    const std::vector<NodeAddress> peers = node.membership->meshTargets();
    return std::find(peers.begin(), peers.end(), target.address) != peers.end();
}

void TicketCluster::check(Node &node)
{
    const TicketNumber head = node.tickets->standing().head;
    if (head < node.highest) {
        violation = node.address.node.text() + " fell back to " + std::to_string(head.value());
    }
    node.highest = std::max(node.highest, head);
    if (node.tickets->catalog() == node.checked) {
        return;
    }
    node.checked = node.tickets->catalog();
    if (!(*node.checked == chainAt(head))) {
        violation = node.address.node.text() + " does not hold the chain at " + std::to_string(head.value());
    }
}

const Catalog &TicketCluster::chainAt(TicketNumber head)
{
    Catalog catalog = chain_.empty() ? Catalog() : chain_.rbegin()->second;
    for (const auto &[key, row] : store.rows) {
        const std::optional<TicketRecord> record = decodeRecord(row);
        if (record.has_value() && record->number > catalog.head() && record->number <= head) {
            const Ticket ticket = std::get<Ticket>(parseTicket(record->text));
            catalog = catalog.withChanges(ticket.changes, record->number);
            chain_[record->number] = catalog;
        }
    }
    return chain_[head];
}

std::string modelTicket(std::uint64_t number,
                        const std::string &author,
                        const std::string &model,
                        const std::string &version,
                        std::optional<std::uint64_t> basedOn)
{
    Model entity;
    entity.name = ModelName(model);
    entity.version = version;
    Ticket ticket { TicketNumber(number), author, std::nullopt, { entity } };
    if (basedOn.has_value()) {
        ticket.basedOn = TicketNumber(*basedOn);
    }
    return canonicalText(ticket);
}

} // namespace GeraniumLever
