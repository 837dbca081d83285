#include "main/relay/relay_metrics.h"

namespace GeraniumLever {

namespace {

const MetricFamily requestsTotal { "geranium_relay_requests_total", "Requests that got their final answer." };
const MetricFamily firstByteSeconds { "geranium_relay_first_byte_seconds",
                                      "Time from arrival to the first part of the answer." };
const MetricFamily givenUpTotal { "geranium_relay_given_up_total",
                                  "Requests that were given up, by reason and by whether part of an answer was sent." };
const MetricFamily requestSeconds { "geranium_relay_request_seconds", "Time from arrival to the final answer." };
const MetricFamily attemptsTotal { "geranium_relay_attempts_total", "Attempts at upstreams." };
const MetricFamily decisionsTotal { "geranium_relay_decisions_total", "Decisions by kind." };
const MetricFamily rejectedTotal { "geranium_relay_rejected_input_total", "Input that is no acceptable request." };
const MetricFamily storeReadsTotal { "geranium_relay_store_reads_total", "Reads of the store by result." };
const MetricFamily inFlight { "geranium_relay_requests_in_flight", "Requests without a final answer." };
const MetricFamily version { "geranium_relay_configuration_version", "Version of the configuration in use." };
const MetricFamily ageSeconds { "geranium_relay_configuration_age_seconds",
                                "Time since the configuration was last known to be the newest." };
const MetricFamily storeEra { "geranium_relay_store_era", "Era of the store; rises when it is restored from a copy." };
const MetricFamily upstreams { "geranium_relay_upstreams", "Registered upstreams." };
const MetricFamily quarantinedParts {
    "geranium_relay_quarantined_parts",
    "Prompt parts and requests that are kept from upstreams because they crash them."
};
const MetricFamily suspectedParts {
    "geranium_relay_suspected_parts",
    "Prompt parts and requests under which an upstream has crashed since they were last answered."
};
const MetricFamily limitedUpstreams { "geranium_relay_limited_upstreams", "Upstreams that limit their requests." };
const MetricFamily limitedRequests { "geranium_relay_limited_requests",
                                     "Requests sent to upstreams that limit them, since the start of the node." };
const MetricFamily droppedLines { "geranium_relay_dropped_log_lines", "Log lines that a slow reader made drop." };

} // namespace

void RelayMetrics::record(const RelayRequestMetrics &measured)
{
    const MetricLabel tier { "tier", std::to_string(measured.tier) };
    registry_
        .counter(requestsTotal,
                 { tier,
                   { "outcome", std::string(outcomeName(measured.outcome)) },
                   { "code", std::string(resultCodeName(measured.code)) } })
        .add();
    if (measured.givenUpFor.has_value()) {
        registry_
            .counter(givenUpTotal,
                     { { "reason", giveUpReasonName(*measured.givenUpFor) },
                       { "answering", measured.firstByte.has_value() ? "true" : "false" } })
            .add();
    }
    registry_.histogram(requestSeconds, { tier }).record(measured.total);
    if (measured.firstByte.has_value()) {
        registry_.histogram(firstByteSeconds, { tier }).record(*measured.firstByte);
    }
    registry_.counter(attemptsTotal, { tier }).add(measured.attempts);
}

void RelayMetrics::record(const Decision &decision)
{
    registry_.counter(decisionsTotal, { { "kind", decision.kind } }).add();
}

void RelayMetrics::recordInputRejected(ResultCode code)
{
    registry_.counter(rejectedTotal, { { "code", std::string(resultCodeName(code)) } }).add();
}

void RelayMetrics::recordStoreRead(bool succeeded)
{
    registry_.counter(storeReadsTotal, { { "result", succeeded ? "done" : "failed" } }).add();
}

std::string RelayMetrics::render(const RelaySystem &system, TimePoint now, std::uint64_t droppedLogLines)
{
    registry_.gauge(inFlight).set(static_cast<double>(system.inFlight()));
    registry_.gauge(version).set(static_cast<double>(system.fleet().configuration().version().value()));
    const std::optional<Duration> age = system.fleet().configuration().age(now);
    registry_.gauge(ageSeconds).set(age.has_value() ? std::chrono::duration<double>(*age).count() : -1.0);
    registry_.gauge(storeEra).set(static_cast<double>(system.fleet().storeEras().era()));
    registry_.gauge(upstreams).set(static_cast<double>(system.fleet().directory().entries().size()));
    registry_.gauge(quarantinedParts).set(static_cast<double>(system.quarantine().size()));
    registry_.gauge(suspectedParts).set(static_cast<double>(system.quarantine().suspects()));
    registry_.gauge(limitedUpstreams).set(static_cast<double>(system.fleet().limits().size()));
    registry_.gauge(limitedRequests).set(static_cast<double>(system.fleet().limits().sent()));
    registry_.gauge(droppedLines).set(static_cast<double>(droppedLogLines));
    return registry_.render();
}

} // namespace GeraniumLever
