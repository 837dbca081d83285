#include "main/node/node_metrics.h"

namespace GeraniumLever {

namespace {

const MetricFamily requestsTotal { "geranium_requests_total", "Requests that got their final answer." };
const MetricFamily firstTokenSeconds { "geranium_first_token_seconds",
                                       "Time from arrival to the first token or byte." };
const MetricFamily requestSeconds { "geranium_request_seconds", "Time from arrival to the final answer." };
const MetricFamily tokensTotal { "geranium_tokens_total", "Tokens delivered to callers." };
const MetricFamily wastedTokensTotal { "geranium_wasted_tokens_total",
                                       "Tokens generated that nobody can use, by cause." };
const MetricFamily attemptsTotal { "geranium_attempts_total", "Attempts at upstreams." };
const MetricFamily decisionsTotal { "geranium_decisions_total", "Routing and placement decisions." };
const MetricFamily storeResultsTotal { "geranium_store_results_total",
                                       "Results of the table service and object store." };
const MetricFamily peerMessagesTotal { "geranium_peer_messages_total", "Messages sent to other nodes." };
const MetricFamily inFlight { "geranium_requests_in_flight", "Requests without a final answer." };
const MetricFamily ticketHead { "geranium_ticket_head", "Number of the last change ticket in force." };
const MetricFamily peersAlive { "geranium_peers_alive", "Other nodes whose heartbeats arrive." };
const MetricFamily ready { "geranium_ready", "1 if the node takes requests." };

const char *statusName(StoreStatus status)
{
    switch (status) {
    case StoreStatus::Done:
        return "done";
    case StoreStatus::ConditionFailed:
        return "condition_failed";
    case StoreStatus::Unavailable:
        return "unavailable";
    case StoreStatus::Ambiguous:
        return "ambiguous";
    }
    return "unavailable";
}

} // namespace

void NodeMetrics::note(const RequestMetrics &measured)
{
    const MetricLabel requestClass { "class", measured.requestClass.text() };
    const std::string code(resultCodeName(measured.code));
    registry_
        .counter(requestsTotal,
                 { requestClass, { "outcome", std::string(outcomeName(measured.outcome)) }, { "code", code } })
        .add();
    registry_.histogram(requestSeconds, { requestClass }).record(measured.total);
    if (measured.firstToken) {
        registry_.histogram(firstTokenSeconds, { requestClass }).record(*measured.firstToken);
    }
    registry_.counter(tokensTotal, { requestClass }).add(measured.tokens - measured.wastedTokens);
    registry_.counter(wastedTokensTotal, { requestClass, { "cause", code } }).add(measured.wastedTokens);
    registry_.counter(attemptsTotal, { requestClass }).add(measured.attempts);
}

void NodeMetrics::note(const Decision &decision)
{
    registry_.counter(decisionsTotal, { { "kind", decision.kind } }).add();
}

void NodeMetrics::note(const StoreResult &result)
{
    registry_.counter(storeResultsTotal, { { "status", statusName(result.status) } }).add();
}

void NodeMetrics::note(const PeerSend &)
{
    registry_.counter(peerMessagesTotal).add();
}

std::string NodeMetrics::render(const NodeLogic &logic)
{
    std::size_t alive = 0;
    for (const auto &[name, peer] : logic.membership().peers()) {
        alive += peer.alive ? 1 : 0;
    }
    registry_.gauge(inFlight).set(static_cast<double>(logic.inFlight()));
    registry_.gauge(ticketHead).set(static_cast<double>(logic.tickets().standing().head.value()));
    registry_.gauge(peersAlive).set(static_cast<double>(alive));
    registry_.gauge(ready).set(logic.ready() ? 1 : 0);
    return registry_.render();
}

} // namespace GeraniumLever
