/** Public header of the settings package: the YAML settings files of a node and of a relay. */
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "core/core.h"
#include "drivers/settings/relay_settings.h"

namespace GeraniumLever {

/** A node that the settings list as an initial contact. */
struct PeerSettings
{
    NodeName node;
    DataCenterName dataCenter;
    std::string meshAddress;
    std::string callerAddress;

    auto operator<=>(const PeerSettings &) const = default;
};

/** Contents of a node's settings file, which never holds routing state. All addresses are "a.b.c.d:port". */
struct Settings
{
    NodeName node;
    DataCenterName dataCenter;
    std::string callerAddress;
    std::string operatorAddress;
    std::string meshAddress;
    /** Shared by the nodes of one installation. */
    std::string meshKey;
    std::string tableAddress;
    std::string objectAddress;
    std::string vmListAddress;
    /** SHA-256 of each operator key in lower-case hex. */
    std::vector<std::string> operatorKeyHashes;
    std::vector<PeerSettings> peers;
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxConnections = 4096;
    Duration requestTimeout = std::chrono::seconds(20);
    Duration storeTimeout = std::chrono::seconds(2);
    /** Longest time that a shutdown waits for requests in flight. */
    Duration stopLimit = std::chrono::minutes(10);
    /** Folder of the log files; if empty, the log goes to standard error. */
    std::string logFolder;
    /** Seed of the random number generator; 0 takes one from the operating system. */
    std::uint64_t seed = 0;

    bool operator==(const Settings &) const = default;
};

using SettingsResult = std::variant<Settings, std::vector<Fault>>;

/** Parses and validates the text; reports every fault, in line order. */
SettingsResult parseSettings(const std::string &text);

/** Reads, parses and validates a file. */
SettingsResult readSettings(const std::string &path);

} // namespace GeraniumLever
