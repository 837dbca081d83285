/** The YAML settings file of a relay. */
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** Everything that a relay reads from its settings file. Routing state is never part of it. All addresses are
 *  "a.b.c.d:port". */
struct RelaySettings
{
    NodeName node;
    DataCenterName dataCenter;
    /** Where callers connect. */
    std::string callerAddress;
    /** Where the balancer asks whether the node is ready, and metrics are read. */
    std::string statusAddress;
    std::string storeAddress;
    /** Where datagrams of other relays arrive; without it the node takes part in no exchange of loads. */
    std::string peerAddress;
    /** Part of a processor core that the node may use; nodes with more collect reports for others. */
    double processorShare = 1.0;
    /** How long a key may be honoured after its removal. */
    Duration keyLifetime = std::chrono::seconds(5);
    /** How soon a configuration must be in force, and a leaving upstream must get nothing more. */
    Duration applyTime = std::chrono::seconds(2);
    /** Repeats per request that all nodes together may send in a window, and those beyond that. */
    double repeatRatio = 0.1;
    double repeatSlack = 10.0;
    Duration repeatWindow = std::chrono::seconds(10);
    /** Longest time that a stop waits for requests in flight. */
    Duration stopLimit = std::chrono::seconds(8);

    auto operator<=>(const RelaySettings &) const = default;
};

using RelaySettingsResult = std::variant<RelaySettings, std::vector<Fault>>;

/** Checks the text whole and lists every fault, in line order. Fields that are not known are ignored. */
RelaySettingsResult parseRelaySettings(const std::string &text);

/** Reads and checks a file. */
RelaySettingsResult readRelaySettings(const std::string &path);

} // namespace GeraniumLever
