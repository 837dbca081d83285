#include "drivers/settings/relay_settings.h"

#include <algorithm>

#include "drivers/settings/setting_checks.h"

namespace GeraniumLever {

namespace {

void readSeconds(FieldReader &reader, const std::string &key, Duration &target)
{
    double seconds = std::chrono::duration<double>(target).count();
    reader.read(key, seconds);
    constexpr double MaxSeconds = 24.0 * 60.0 * 60.0;
    if (seconds <= 0.0 || seconds > MaxSeconds) {
        reader.fault(key, "must be above 0 and at most a day");
        return;
    }
    target = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

RelaySettingsResult parseRelaySettings(const std::string &text)
{
    const YamlResult parsed = parseYaml(text);
    if (const Fault *fault = std::get_if<Fault>(&parsed)) {
        return std::vector<Fault> { *fault };
    }
    std::vector<Fault> faults;
    RelaySettings settings;
    FieldReader reader(std::get<YAML::Node>(parsed), "settings", faults);
    if (!reader.isMap()) {
        return std::vector<Fault> { Fault { 0, "settings: must be a mapping" } };
    }
    readRequiredName(reader, "node", settings.node);
    readRequiredName(reader, "data_center", settings.dataCenter);
    readRequiredAddress(reader, "caller_address", settings.callerAddress);
    readRequiredAddress(reader, "status_address", settings.statusAddress);
    readRequiredAddress(reader, "store_address", settings.storeAddress);
    readAddress(reader, "peer_address", settings.peerAddress);
    reader.read("processor_share", settings.processorShare);
    readPositive(reader, "key_lifetime_ms", settings.keyLifetime);
    readPositive(reader, "apply_time_ms", settings.applyTime);
    readPositive(reader, "upstream_heartbeat_ms", settings.upstreamHeartbeat);
    reader.read("repeat_ratio", settings.repeatRatio);
    reader.read("repeat_slack", settings.repeatSlack);
    readSeconds(reader, "repeat_window_s", settings.repeatWindow);
    readSeconds(reader, "stop_limit_s", settings.stopLimit);
    reader.read("first_start", settings.isFirstStart);
    if (faults.empty()) {
        return settings;
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &a, const Fault &b) { return a.line < b.line; });
    return faults;
}

RelaySettingsResult readRelaySettings(const std::string &path)
{
    const std::variant<std::string, Fault> text = readSettingsText(path);
    if (const Fault *fault = std::get_if<Fault>(&text)) {
        return std::vector<Fault> { *fault };
    }
    return parseRelaySettings(std::get<std::string>(text));
}

} // namespace GeraniumLever
