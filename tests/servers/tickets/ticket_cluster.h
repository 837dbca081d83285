/** Several nodes with membership and tickets on a stepped clock, a fake network and a fake store. */
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "servers/membership/membership.h"
#include "servers/tickets/tickets.h"
#include "tests/servers/tickets/fake_store.h"

namespace GeraniumLever {

class TicketCluster
{
public:
    static constexpr Duration Step = std::chrono::milliseconds(50);

    /** How the table service treats transactions. */
    enum class Answers {
        Normal,
        /** The effect happens, the answer is lost. */
        LostAfterEffect,
        /** The answer is lost, and the effect happens two seconds later. */
        LostBeforeEffect,
    };

    TicketCluster(std::size_t dataCenters, std::size_t nodesEach, std::uint64_t seed);

    void run(Duration duration);
    bool runUntil(Duration limit, const std::function<bool()> &condition);

    /** Hands a ticket to a node and returns the key under which its verdict appears. */
    std::uint64_t submit(const std::string &node, const std::string &text);
    const Result<TicketNumber> *verdict(std::uint64_t submission) const;

    /** Replaces the node by one without state. */
    void restart(const std::string &node);
    void kill(const std::string &node);

    void setPlatform(const std::string &dataCenter, bool reachable);
    void setLink(const std::string &one, const std::string &other, bool connected);
    void healAll();

    TicketSystem &tickets(const std::string &node);
    bool inForceEverywhere(std::uint64_t number) const;
    std::size_t decisions(const std::string &kind) const;
    std::vector<std::string> nodeNames() const;
    Duration elapsed() const { return clock_.now() - TimePoint(std::chrono::seconds(1)); }
    /** Replaces a node's catalog state by handing it a heartbeat as another node would send it. */
    void deliver(const std::string &to, const NodeName &from, const PeerMessage &message);

    FakeStore store;
    Answers answers = Answers::Normal;
    /** First broken promise: a head that fell, or a catalog that is not that of the chain; empty if none. */
    std::string violation;

private:
    struct Node
    {
        NodeAddress address;
        std::unique_ptr<OperationCounter> operations;
        std::unique_ptr<MembershipSystem> membership;
        std::unique_ptr<TicketSystem> tickets;
        TicketNumber highest;
        /** Heads are checked against the chain only when the catalog has changed. */
        CatalogPtr checked;
        bool alive = true;
    };

    struct Delivery
    {
        TimePoint at;
        NodeName from;
        NodeName to;
        PeerMessage message;
    };

    struct Answer
    {
        TimePoint at;
        NodeName to;
        std::uint64_t incarnation = 0;
        StoreResult result;
    };

    struct LateEffect
    {
        TimePoint at;
        TableTransaction transaction;
    };

    void start(Node &node);
    void tick();
    void receive(Node &node, const NodeName &from, const PeerMessage &message);
    void carryOut(Node &node, Commands commands);
    StoreResult ask(const Node &node, const Command &command);
    StoreResult transact(const TableTransaction &transaction);
    bool connected(const Node &node, const Node &target) const;
    void check(Node &node);
    const Catalog &chainAt(TicketNumber head);

    SteppedClock clock_;
    RandomSource random_;
    std::map<NodeName, Node> nodes_;
    std::map<NodeName, std::uint64_t> incarnations_;
    std::vector<NodeAddress> addresses_;
    std::deque<Delivery> deliveries_;
    std::deque<Answer> answers_;
    std::deque<LateEffect> lateEffects_;
    std::set<std::pair<DataCenterName, DataCenterName>> cutLinks_;
    std::set<DataCenterName> cutPlatforms_;
    std::map<std::uint64_t, Result<TicketNumber>> verdicts_;
    std::map<TicketNumber, Catalog> chain_;
    std::map<std::string, std::size_t> decisions_;
    std::uint64_t lastSubmission_ = 0;
};

/** A ticket that gives a model a version. */
std::string modelTicket(std::uint64_t number,
                        const std::string &author,
                        const std::string &model,
                        const std::string &version,
                        std::optional<std::uint64_t> basedOn = std::nullopt);

} // namespace GeraniumLever
