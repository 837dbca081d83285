#include "drivers/settings/settings.h"

#include <algorithm>
#include <set>

#include "drivers/settings/setting_checks.h"

namespace GeraniumLever {

namespace {

void readOperatorKeyHashes(FieldReader &reader, Settings &settings)
{
    reader.read("operator_key_hashes", settings.operatorKeyHashes);
    for (const std::string &hash : settings.operatorKeyHashes) {
        if (!isSha256Hex(hash)) {
            reader.fault("operator_key_hashes", "must contain SHA-256 hashes of 64 lower-case hexadecimal digits");
            return;
        }
    }
}

PeerSettings readPeer(const YAML::Node &node, std::size_t position, std::vector<Fault> &faults)
{
    PeerSettings peer;
    FieldReader reader(node, "peer " + std::to_string(position), faults);
    if (!reader.isMap()) {
        faults.push_back(Fault { lineOf(node), "peer " + std::to_string(position) + ": must be a mapping" });
        return peer;
    }
    readRequiredName(reader, "node", peer.node);
    readRequiredName(reader, "data_center", peer.dataCenter);
    readRequiredAddress(reader, "mesh_address", peer.meshAddress);
    readAddress(reader, "caller_address", peer.callerAddress);
    reader.finish();
    return peer;
}

void readPeers(FieldReader &reader, Settings &settings, std::vector<Fault> &faults)
{
    const YAML::Node peers = reader.child("peers");
    if (!peers.IsDefined()) {
        return;
    }
    if (!peers.IsSequence()) {
        reader.fault("peers", "must be a list");
        return;
    }
    std::set<NodeName> seen;
    for (const YAML::Node &node : peers) {
        settings.peers.push_back(readPeer(node, settings.peers.size() + 1, faults));
        const NodeName &name = settings.peers.back().node;
        if (!name.empty() && !seen.insert(name).second) {
            faults.push_back(Fault { lineOf(node), "peer " + name.text() + " is given twice" });
        }
    }
}

void readLimits(FieldReader &reader, Settings &settings)
{
    readPositive(reader, "max_header_bytes", settings.maxHeaderBytes);
    readPositive(reader, "max_body_bytes", settings.maxBodyBytes);
    readPositive(reader, "max_connections", settings.maxConnections);
    readPositive(reader, "request_timeout_ms", settings.requestTimeout);
    readPositive(reader, "store_timeout_ms", settings.storeTimeout);
    std::uint64_t seconds =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(settings.stopLimit).count());
    readPositive(reader, "stop_limit_s", seconds);
    constexpr std::uint64_t MaxStopSeconds = 60 * 60 * 24;
    if (seconds > MaxStopSeconds) {
        reader.fault("stop_limit_s", "must not be above " + std::to_string(MaxStopSeconds));
        return;
    }
    settings.stopLimit = std::chrono::seconds(seconds);
}

void readAddresses(FieldReader &reader, Settings &settings)
{
    readRequiredAddress(reader, "caller_address", settings.callerAddress);
    readRequiredAddress(reader, "operator_address", settings.operatorAddress);
    readRequiredAddress(reader, "mesh_address", settings.meshAddress);
    readRequiredAddress(reader, "table_address", settings.tableAddress);
    readRequiredAddress(reader, "object_address", settings.objectAddress);
    readRequiredAddress(reader, "vm_list_address", settings.vmListAddress);
}

} // namespace

SettingsResult parseSettings(const std::string &text)
{
    const YamlResult parsed = parseYaml(text);
    if (const Fault *fault = std::get_if<Fault>(&parsed)) {
        return std::vector<Fault> { *fault };
    }
    std::vector<Fault> faults;
    Settings settings;
    FieldReader reader(std::get<YAML::Node>(parsed), "settings", faults);
    if (!reader.isMap()) {
        return std::vector<Fault> { Fault { 0, "settings: must be a mapping" } };
    }
    readRequiredName(reader, "node", settings.node);
    readRequiredName(reader, "data_center", settings.dataCenter);
    readAddresses(reader, settings);
    reader.require("mesh_key");
    reader.read("mesh_key", settings.meshKey);
    if (reader.has("mesh_key") && settings.meshKey.empty()) {
        reader.fault("mesh_key", "must not be empty");
    }
    readOperatorKeyHashes(reader, settings);
    readPeers(reader, settings, faults);
    readLimits(reader, settings);
    reader.read("log_folder", settings.logFolder);
    reader.read("seed", settings.seed);
    reader.finish();
    if (faults.empty()) {
        return settings;
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &a, const Fault &b) { return a.line < b.line; });
    return faults;
}

SettingsResult readSettings(const std::string &path)
{
    const std::variant<std::string, Fault> text = readSettingsText(path);
    if (const Fault *fault = std::get_if<Fault>(&text)) {
        return std::vector<Fault> { *fault };
    }
    return parseSettings(std::get<std::string>(text));
}

} // namespace GeraniumLever
