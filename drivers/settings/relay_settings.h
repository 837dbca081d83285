/** The YAML settings file of a relay. */
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Contents of a relay's settings file, which never holds routing state. All addresses are "a.b.c.d:port". */
struct RelaySettings
{
    NodeName node;
    DataCenterName dataCenter;
    /** Address on which callers connect. */
    std::string callerAddress;
    /** Address of the readiness check for the load balancer and of the metrics. */
    std::string statusAddress;
    std::string storeAddress;
    /** Address that receives other relays' datagrams; if empty, the node does not exchange load reports. */
    std::string peerAddress;
    /** CPU cores that the node may use, possibly a fraction; nodes with a larger share collect reports for others. */
    double processorShare = 1.0;
    /** Longest time for which a removed key may still be accepted. */
    Duration keyLifetime = std::chrono::seconds(5);
    /** Deadline for applying a new configuration and for sending no further requests to a leaving upstream. */
    Duration applyTime = std::chrono::seconds(2);
    /** Interval at which upstreams renew their registration; 0 if not known. */
    Duration upstreamHeartbeat { 0 };
    /** Retry budget of all nodes together: in a window they may send `repeatRatio` retries per request, plus
     *  `repeatSlack`. */
    double repeatRatio = 0.1;
    double repeatSlack = 10.0;
    Duration repeatWindow = std::chrono::seconds(10);
    /** True only when all nodes start for the first time, so that no stream can have begun before. */
    bool isFirstStart = false;
    /** Longest time that a shutdown waits for requests in flight. */
    Duration stopLimit = std::chrono::seconds(8);

    auto operator<=>(const RelaySettings &) const = default;
};

using RelaySettingsResult = std::variant<RelaySettings, std::vector<Fault>>;

/** Parses and validates the text; reports every fault, in line order. Unknown fields are ignored. */
RelaySettingsResult parseRelaySettings(const std::string &text);

/** Reads, parses and validates a file. */
RelaySettingsResult readRelaySettings(const std::string &path);

} // namespace GeraniumLever
