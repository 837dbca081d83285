/** Messages in which relays tell each other how many requests upstreams take. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "servers/routing/routing.h"

namespace GeraniumLever {

/** What an upstream stated in its answer to one request. */
struct LimitStatement
{
    UpstreamName upstream;
    /** Requests per second that it takes from all nodes together; absent if it does not limit them. */
    std::optional<double> rate;
    /** When the request was sent, and when the answer arrived: the upstream said so at some time in between. */
    FleetTime sentAt;
    FleetTime heardAt;

    auto operator<=>(const LimitStatement &) const = default;
};

/** Sent to peers when a relay learns of a change, and once a second. */
struct LimitReport
{
    NodeName node;
    std::vector<LimitStatement> statements;

    auto operator<=>(const LimitReport &) const = default;
};

/** Sends a limit report to another relay. */
struct OutgoingLimitReport
{
    /** "a.b.c.d:port". */
    std::string address;
    LimitReport report;

    auto operator<=>(const OutgoingLimitReport &) const = default;
};

} // namespace GeraniumLever
