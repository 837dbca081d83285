/** A cluster of nodes with membership and tickets on a stepped clock, a fake network and a fake store. */
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

    /** How the table service handles transactions. */
    enum class TransactionMode {
        Normal,
        /** The transaction takes effect, and the answer is lost. */
        AnswerLostAfterEffect,
        /** The answer is lost, and the transaction takes effect two seconds later. */
        AnswerLostBeforeEffect,
    };

    TicketCluster(std::size_t dataCenters, std::size_t nodesEach, std::uint64_t seed);

    void run(Duration duration);
    bool runUntil(Duration limit, const std::function<bool()> &condition);

    /** Submits a ticket to a node and returns the key for verdict(). */
    std::uint64_t submit(const std::string &node, const std::string &text);
    const Result<TicketNumber> *verdict(std::uint64_t submission) const;

    /** Replaces the node by one without state. */
    void restart(const std::string &node);
    void kill(const std::string &node);

    void setPlatformReachable(const std::string &dataCenter, bool reachable);
    void setLinkConnected(const std::string &one, const std::string &other, bool connected);
    void healAll();

    TicketSystem &tickets(const std::string &node);
    bool isInForceEverywhere(std::uint64_t number) const;
    std::size_t decisions(const std::string &kind) const;
    std::vector<std::string> nodeNames() const;
    Duration elapsed() const { return clock_.now() - TimePoint(std::chrono::seconds(1)); }
    /** Delivers a message to a node immediately, as if another node had sent it. */
    void deliver(const std::string &to, const NodeName &from, const PeerMessage &message);

    FakeStore store;
    TransactionMode transactionMode = TransactionMode::Normal;
    /** A violated invariant: a head that decreased, or a catalog that differs from that of the chain; empty if there is
     *  none. */
    std::string violation;

private:
    struct Node
    {
        NodeAddress address;
        std::unique_ptr<OperationCounter> operations;
        std::unique_ptr<MembershipSystem> membership;
        std::unique_ptr<TicketSystem> tickets;
        TicketNumber highestHead;
        /** The catalog that was last compared with the chain, which is done only after a change. */
        CatalogPtr checkedCatalog;
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

    struct DelayedTransaction
    {
        TimePoint at;
        TableTransaction transaction;
    };

    void start(Node &node);
    void tick();
    void receive(Node &node, const NodeName &from, const PeerMessage &message);
    void executeCommands(Node &node, Commands commands);
    StoreResult executeStoreCommand(const Node &node, const Command &command);
    StoreResult executeTransaction(const TableTransaction &transaction);
    bool connected(const Node &node, const Node &target) const;
    void checkInvariants(Node &node);
    const Catalog &expectedCatalogAt(TicketNumber head);

    SteppedClock clock_;
    RandomSource random_;
    std::map<NodeName, Node> nodes_;
    std::map<NodeName, std::uint64_t> incarnations_;
    std::vector<NodeAddress> addresses_;
    std::deque<Delivery> deliveries_;
    std::deque<Answer> answers_;
    std::deque<DelayedTransaction> delayedTransactions_;
    std::set<std::pair<DataCenterName, DataCenterName>> brokenLinks_;
    std::set<DataCenterName> unreachablePlatforms_;
    std::map<std::uint64_t, Result<TicketNumber>> verdicts_;
    std::map<TicketNumber, Catalog> expectedCatalogs_;
    std::map<std::string, std::size_t> decisions_;
    std::uint64_t lastSubmission_ = 0;
};

/** The text of a ticket that sets the version of a model. */
std::string modelTicket(std::uint64_t number,
                        const std::string &author,
                        const std::string &model,
                        const std::string &version,
                        std::optional<std::uint64_t> basedOn = std::nullopt);

} // namespace GeraniumLever
