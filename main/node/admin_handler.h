/** HTTP endpoints of the operator port. */
#pragma once

#include <functional>
#include <map>
#include <string>

#include "core/core.h"
#include "drivers/http/http.h"
#include "main/node/decision_log.h"
#include "main/node/node_logic.h"

namespace GeraniumLever {

/** Answers operators' HTTP requests from the state of the node's logic. Runs on the node's thread. */
class AdminHandler
{
public:
    /** Passes an event to the node. */
    using SubmitEvent = std::function<void(Event)>;
    /** Starts looking up the status of a team's request key, under the given identifier. */
    using StatusLookup = std::function<void(const RequestId &, const TeamName &, const std::string &)>;
    using MetricsText = std::function<std::string()>;

    AdminHandler(const NodeLogic &logic,
                 const DecisionLog &decisions,
                 SubmitEvent submitEvent,
                 StatusLookup lookUpStatus,
                 MetricsText metricsText);

    void handle(const OperatorRequest &request, OperatorServer::Responder respond);

    /** Sends the result of a ticket to the operator who submitted it to this node. */
    void ticketDecided(const TicketSubmissionResult &verdict);

    /** Sends the result of a status look-up to the operator who requested it from this node. */
    void statusFound(const ClaimStatus &status);

private:
    using Endpoint = void (AdminHandler::*)(const OperatorRequest &, OperatorServer::Responder);

    struct Route
    {
        const char *method;
        const char *path;
        /** True if the route matches every path that starts with `path`. */
        bool isPrefix;
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
    SubmitEvent submitEvent_;
    StatusLookup lookUpStatus_;
    MetricsText metricsText_;
    std::uint64_t lastSubmission_ = 0;
    std::uint64_t lastLookup_ = 0;
    std::map<OperationId, OperatorServer::Responder> pendingSubmissions_;
    std::map<RequestId, OperatorServer::Responder> pendingLookups_;
};

} // namespace GeraniumLever
