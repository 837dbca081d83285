#include "main/node/admin_handler.h"

#include <charconv>
#include <string_view>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace GeraniumLever {

namespace {

constexpr unsigned HttpUnavailable = 503;
constexpr std::string_view TicketsPath = "/admin/tickets/";
/** Identifiers of operators' questions, apart from those of callers' requests. */
constexpr std::uint64_t QuestionOrigin = 1;

OperatorReply jsonReply(const boost::json::object &body)
{
    return { 200, "application/json", boost::json::serialize(body) };
}

OperatorReply textReply(unsigned status, std::string text)
{
    return { status, "text/plain; charset=utf-8", std::move(text) };
}

OperatorReply errorReply(const Error &error, Outcome outcome)
{
    boost::json::object details;
    details["code"] = static_cast<std::int64_t>(error.code);
    details["name"] = std::string(resultCodeName(error.code));
    details["message"] = error.message;
    details["outcome"] = std::string(outcomeName(outcome));
    boost::json::object body;
    body["error"] = std::move(details);
    return { httpStatusFor(error.code), "application/json", boost::json::serialize(body) };
}

const char *stateName(NodeState state)
{
    switch (state) {
    case NodeState::Starting:
        return "starting";
    case NodeState::Ready:
        return "ready";
    case NodeState::Leaving:
        return "leaving";
    }
    return "starting";
}

/** The decoded value of a query parameter; empty if it is absent. */
std::string queryValue(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percentDecoded(pair.substr(equals + 1));
        }
    }
    return {};
}

std::uint64_t numberOr(std::string_view text, std::uint64_t fallback)
{
    std::uint64_t value = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size() && !text.empty() ? value : fallback;
}

boost::json::object nodeEntry(const NodeName &node, const DataCenterName &dataCenter, TicketNumber head)
{
    boost::json::object entry;
    entry["node"] = node.text();
    entry["data_center"] = dataCenter.text();
    entry["head"] = head.value();
    return entry;
}

} // namespace

const AdminHandler::Route AdminHandler::routes[] = {
    { "GET", "/healthz", false, &AdminHandler::healthz },
    { "GET", "/readyz", false, &AdminHandler::readyz },
    { "GET", "/metrics", false, &AdminHandler::metrics },
    { "POST", "/admin/tickets", false, &AdminHandler::submitTicket },
    { "GET", "/admin/tickets/", true, &AdminHandler::showTicket },
    { "GET", "/admin/state", false, &AdminHandler::showState },
    { "GET", "/admin/nodes", false, &AdminHandler::showNodes },
    { "GET", "/admin/decisions", false, &AdminHandler::showDecisions },
    { "GET", "/admin/requests", false, &AdminHandler::showRequest },
};

AdminHandler::AdminHandler(
    const NodeLogic &logic, const DecisionLog &decisions, Feed feed, Ask ask, MetricsText metricsText)
    : logic_(logic)
    , decisions_(decisions)
    , feed_(std::move(feed))
    , ask_(std::move(ask))
    , metricsText_(std::move(metricsText))
{
}

void AdminHandler::handle(const OperatorRequest &request, OperatorServer::Responder respond)
{
    for (const Route &route : routes) {
        const bool matches = route.prefix ? request.path.starts_with(route.path) : request.path == route.path;
        if (matches && request.method == route.method) {
            (this->*route.endpoint)(request, std::move(respond));
            return;
        }
    }
    respond(errorReply({ ResultCode::UnknownPath, "no such operator endpoint", std::nullopt }, Outcome::NotRun));
}

void AdminHandler::healthz(const OperatorRequest &, OperatorServer::Responder respond)
{
    respond(textReply(200, "ok\n"));
}

void AdminHandler::readyz(const OperatorRequest &, OperatorServer::Responder respond)
{
    respond(logic_.ready() ? textReply(200, "ready\n")
                           : textReply(HttpUnavailable, std::string(stateName(logic_.state())) + "\n"));
}

void AdminHandler::metrics(const OperatorRequest &, OperatorServer::Responder respond)
{
    respond({ 200, "text/plain; version=0.0.4", metricsText_() });
}

void AdminHandler::submitTicket(const OperatorRequest &request, OperatorServer::Responder respond)
{
    const OperationId operation(++lastSubmission_);
    submissions_.emplace(operation, std::move(respond));
    feed_(TicketSubmission { operation, request.body });
}

void AdminHandler::ticketDecided(const TicketSubmissionResult &verdict)
{
    const std::map<OperationId, OperatorServer::Responder>::iterator found = submissions_.find(verdict.operation);
    if (found == submissions_.end()) {
        return;
    }
    const OperatorServer::Responder respond = std::move(found->second);
    submissions_.erase(found);
    if (!succeeded(verdict.result)) {
        const Error &error = errorOf(verdict.result);
        const bool unsure = error.code == ResultCode::TableAmbiguous;
        respond(errorReply(error, unsure ? Outcome::Unknown : Outcome::NotRun));
        return;
    }
    boost::json::object body;
    body["number"] = valueOf(verdict.result).value();
    respond(jsonReply(body));
}

void AdminHandler::showTicket(const OperatorRequest &request, OperatorServer::Responder respond)
{
    const std::string_view text = std::string_view(request.path).substr(TicketsPath.size());
    const TicketNumber number(numberOr(text, 0));
    const std::optional<TicketRecord> record = logic_.tickets().record(number);
    const TicketStatus standing = logic_.tickets().standing();
    // A node that began with a snapshot does not hold the tickets before it, but knows the last of them.
    if (!record && standing.head != number) {
        respond(errorReply({ ResultCode::TicketNotFound, "this node holds no ticket with this number", std::nullopt },
                           Outcome::NotRun));
        return;
    }
    boost::json::array nodes;
    boost::json::object own =
        nodeEntry(logic_.membership().self().node, logic_.membership().self().dataCenter, standing.head);
    own["in_force"] = standing.head >= number;
    nodes.push_back(std::move(own));
    for (const auto &[name, peer] : logic_.membership().peers()) {
        const TicketNumber head = peer.heartbeat ? peer.heartbeat->ticketHead : TicketNumber();
        boost::json::object entry = nodeEntry(name, peer.address.dataCenter, head);
        entry["alive"] = peer.alive;
        entry["in_force"] = peer.alive && head >= number;
        nodes.push_back(std::move(entry));
    }
    boost::json::object body;
    body["number"] = number.value();
    body["previous"] = record ? record->previous.value() : 0;
    body["text"] = record ? record->text : "";
    body["nodes"] = std::move(nodes);
    respond(jsonReply(body));
}

void AdminHandler::showState(const OperatorRequest &, OperatorServer::Responder respond)
{
    const TicketStatus standing = logic_.tickets().standing();
    const Catalog &catalog = *logic_.tickets().catalog();
    boost::json::array upstreams;
    for (const auto &[name, upstream] : catalog.upstreams()) {
        boost::json::object entry;
        entry["name"] = name.text();
        entry["pool"] = upstream.pool.text();
        entry["data_center"] = upstream.dataCenter.text();
        entry["leaving"] = upstream.leaving || logic_.leaving().isLeaving(name);
        entry["in_flight"] = logic_.scheduling().inFlightAt(name);
        upstreams.push_back(std::move(entry));
    }
    boost::json::object body =
        nodeEntry(logic_.membership().self().node, logic_.membership().self().dataCenter, standing.head);
    body["state"] = stateName(logic_.state());
    body["digest"] = std::to_string(standing.digest);
    body["epoch"] = std::to_string(standing.epoch.value());
    body["caught_up"] = standing.caughtUp;
    body["in_flight"] = logic_.inFlight();
    body["upstreams"] = std::move(upstreams);
    body["catalog"] = canonicalText(ticketOfCatalog(catalog));
    respond(jsonReply(body));
}

void AdminHandler::showNodes(const OperatorRequest &, OperatorServer::Responder respond)
{
    const TicketStatus standing = logic_.tickets().standing();
    const NodeAddress &self = logic_.membership().self();
    boost::json::array nodes;
    boost::json::object own = nodeEntry(self.node, self.dataCenter, standing.head);
    own["state"] = stateName(logic_.state());
    own["alive"] = true;
    own["digest"] = std::to_string(standing.digest);
    nodes.push_back(std::move(own));
    for (const auto &[name, peer] : logic_.membership().peers()) {
        const Heartbeat heartbeat = peer.heartbeat.value_or(Heartbeat {});
        boost::json::object entry = nodeEntry(name, peer.address.dataCenter, heartbeat.ticketHead);
        entry["state"] = peer.heartbeat ? stateName(heartbeat.state) : "unknown";
        entry["alive"] = peer.alive;
        entry["digest"] = std::to_string(heartbeat.catalogDigest);
        nodes.push_back(std::move(entry));
    }
    boost::json::object body;
    body["nodes"] = std::move(nodes);
    respond(jsonReply(body));
}

void AdminHandler::showDecisions(const OperatorRequest &request, OperatorServer::Responder respond)
{
    constexpr std::uint64_t DefaultCount = 100;
    boost::json::array lines;
    for (std::string &line : decisions_.last(numberOr(queryValue(request.query, "last"), DefaultCount))) {
        lines.emplace_back(std::move(line));
    }
    boost::json::object body;
    body["decisions"] = std::move(lines);
    respond(jsonReply(body));
}

void AdminHandler::showRequest(const OperatorRequest &request, OperatorServer::Responder respond)
{
    const TeamName team(queryValue(request.query, "team"));
    const std::string key = queryValue(request.query, "key");
    if (team.empty() || key.empty()) {
        respond(
            errorReply({ ResultCode::MalformedRequest, "team and key must be given", std::nullopt }, Outcome::NotRun));
        return;
    }
    const RequestId question(QuestionOrigin, ++lastQuestion_);
    questions_.emplace(question, std::move(respond));
    ask_(question, team, key);
}

void AdminHandler::statusFound(const ClaimStatus &status)
{
    const std::map<RequestId, OperatorServer::Responder>::iterator found = questions_.find(status.request);
    if (found == questions_.end()) {
        return;
    }
    const OperatorServer::Responder respond = std::move(found->second);
    questions_.erase(found);
    if (status.error) {
        respond(errorReply(*status.error, Outcome::Unknown));
        return;
    }
    boost::json::object body;
    body["running"] = status.running;
    body["outcome"] =
        status.outcome ? std::string(outcomeName(*status.outcome)) : std::string(status.running ? "" : "not_run");
    if (status.answer) {
        body["status"] = status.answer->status;
        body["body"] = status.answer->body;
    }
    respond(jsonReply(body));
}

} // namespace GeraniumLever
