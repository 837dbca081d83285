/** geranium-load: bounded load on loopback addresses, with its figures. */

#include <exception>
#include <iostream>
#include <string_view>

#include <cxxopts.hpp>

#include "development/load/load.h"

namespace {

using namespace GeraniumLever;

constexpr int UsageError = 2;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("geranium-load", "Measures a node from outside. Addresses within 127.0.0.0/8 only.");
    options.add_options()("mode", "stream, compare or hold", cxxopts::value<std::string>());
    options.add_options()("router", "a.b.c.d:port", cxxopts::value<std::string>());
    options.add_options()("engine", "a.b.c.d:port, for compare", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("key", "the team's key", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("class", "request class", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("model", "model", cxxopts::value<std::string>()->default_value(""));
    options.add_options()("tokens", "tokens an answer", cxxopts::value<std::uint32_t>()->default_value("64"));
    options.add_options()("streams", "open at one time", cxxopts::value<std::size_t>()->default_value("64"));
    options.add_options()("requests", "in all", cxxopts::value<std::size_t>()->default_value("1000"));
    options.add_options()("rate", "requests a second", cxxopts::value<double>()->default_value("12"));
    options.add_options()("seconds", "longest time", cxxopts::value<Duration::rep>()->default_value("10"));
    options.add_options()(
        "read-every-ms", "reads of a held stream; 0 for none", cxxopts::value<Duration::rep>()->default_value("1000"));
    options.add_options()("pid", "the router's process", cxxopts::value<int>()->default_value("0"));
    options.add_options()("help", "print this help");
    options.parse_positional({ "mode" });
    options.positional_help("stream|compare|hold");
    return options;
}

LoadSettings readSettings(const cxxopts::ParseResult &options)
{
    LoadSettings settings;
    settings.router = options["router"].as<std::string>();
    settings.engine = options["engine"].as<std::string>();
    settings.key = options["key"].as<std::string>();
    settings.requestClass = options["class"].as<std::string>();
    settings.model = options["model"].as<std::string>();
    settings.maxTokens = options["tokens"].as<std::uint32_t>();
    settings.concurrency = options["streams"].as<std::size_t>();
    settings.requests = options["requests"].as<std::size_t>();
    settings.rate = options["rate"].as<double>();
    settings.duration = std::chrono::seconds(options["seconds"].as<Duration::rep>());
    settings.readEvery = std::chrono::milliseconds(options["read-every-ms"].as<Duration::rep>());
    settings.processId = options["pid"].as<int>();
    return settings;
}

template<typename Load>
bool runLoad(const LoadSettings &settings)
{
    Load load(settings);
    return load.run();
}

struct ModeRow
{
    std::string_view name;
    bool (*run)(const LoadSettings &settings);
};

constexpr ModeRow Modes[] = {
    { "stream", runLoad<StreamLoad> },
    { "compare", runLoad<CompareLoad> },
    { "hold", runLoad<HoldLoad> },
};

int runMode(const cxxopts::ParseResult &options)
{
    const LoadSettings settings = readSettings(options);
    const std::optional<std::string> fault = findLoadFault(settings);
    if (fault.has_value()) {
        std::cerr << "geranium-load: " << *fault << '\n';
        return UsageError;
    }
    const std::string mode = options["mode"].as<std::string>();
    for (const ModeRow &row : Modes) {
        if (row.name == mode) {
            return row.run(settings) ? 0 : 1;
        }
    }
    std::cerr << "geranium-load: unknown mode " << mode << '\n';
    return UsageError;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("mode") == 0 || parsed.count("router") == 0) {
            std::cerr << options.help();
            return parsed.count("help") > 0 ? 0 : UsageError;
        }
        return runMode(parsed);
    } catch (const std::exception &failure) {
        std::cerr << "geranium-load: " << failure.what() << '\n';
        return UsageError;
    }
}
