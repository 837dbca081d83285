/** The operator port's endpoints. */
#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/core.h"
#include "drivers/http/http.h"
#include "main/node/decision_log.h"
#include "main/node/node_logic.h"

namespace GeraniumLever {

/** Answers operators from the node's logic. Works on the node's thread. */
class AdminHandler
{
public:
    /** feed: hands an event to the node. ask: begins a look-up of a team's key under the given identifier. */
    using Feed = std::function<void(Event)>;
    using Ask = std::function<void(const RequestId &, const TeamName &, const std::string &)>;
    using MetricsText = std::function<std::string()>;

    AdminHandler(const NodeLogic &logic, const DecisionLog &decisions, Feed feed, Ask ask, MetricsText metricsText);

    void handle(const OperatorRequest &request, OperatorServer::Responder respond);

    /** The result of a ticket that was submitted here. */
    void ticketDecided(const TicketSubmissionResult &verdict);

    /** The result of a look-up that was begun here. */
    void statusFound(const ClaimStatus &status);

private:
    using Endpoint = void (AdminHandler::*)(const OperatorRequest &, OperatorServer::Responder);

    struct Route
    {
        const char *method;
        const char *path;
        /** True if the path goes on after the given one. */
        bool prefix;
        Endpoint endpoint;
    };

    static const Route routes[];

    void healthz(const OperatorRequest &request, OperatorServer::Responder respond);
    void readyz(const OperatorRequest &request, OperatorServer::Responder respond);
    void metrics(const OperatorRequest &request, OperatorServer::Responder respond);
    void submitTicket(const OperatorRequest &request, OperatorServer::Responder respond);
    void showTicket(const OperatorRequest &request, OperatorServer::Responder respond);
    void showState(const OperatorRequest &request, OperatorServer::Responder respond);
    void showNodes(const OperatorRequest &request, OperatorServer::Responder respond);
    void showDecisions(const OperatorRequest &request, OperatorServer::Responder respond);
    void showRequest(const OperatorRequest &request, OperatorServer::Responder respond);

    const NodeLogic &logic_;
    const DecisionLog &decisions_;
    Feed feed_;
    Ask ask_;
    MetricsText metricsText_;
    std::uint64_t lastSubmission_ = 0;
    std::uint64_t lastQuestion_ = 0;
    std::map<OperationId, OperatorServer::Responder> submissions_;
    std::map<RequestId, OperatorServer::Responder> questions_;
};

} // namespace GeraniumLever
