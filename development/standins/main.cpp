/** geranium-standin: one stand-in as a process. */

#include <csignal>
#include <exception>
#include <functional>
#include <iostream>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>

#include "development/standins/standins.h"

namespace {

using namespace GeraniumLever;

constexpr int UsageError = 2;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("geranium-standin", "Stands in for an engine, a plain service or the platform in tests.");
    options.add_options()("kind", "engine, service or platform", cxxopts::value<std::string>());
    options.add_options()("listen", "a.b.c.d:port", cxxopts::value<std::string>());
    options.add_options()("seats", "requests at once", cxxopts::value<std::uint32_t>()->default_value("8"));
    options.add_options()("prefill-us-per-token", "microseconds", cxxopts::value<Duration::rep>()->default_value("20"));
    options.add_options()("token-gap-us", "microseconds", cxxopts::value<Duration::rep>()->default_value("5000"));
    options.add_options()("max-tokens", "longest answer", cxxopts::value<std::uint32_t>()->default_value("64"));
    options.add_options()("load-lag-ms", "age of load reports", cxxopts::value<Duration::rep>()->default_value("0"));
    options.add_options()("cache-lag-ms", "age of cache events", cxxopts::value<Duration::rep>()->default_value("0"));
    options.add_options()("cache-blocks", "size of the cache", cxxopts::value<std::size_t>()->default_value("1024"));
    options.add_options()("checks-fence", "refuse old orders");
    options.add_options()("load-ms", "time to load a model", cxxopts::value<Duration::rep>()->default_value("0"));
    options.add_options()("work-ms", "time of a service call", cxxopts::value<Duration::rep>()->default_value("0"));
    options.parse_positional({ "kind" });
    return options;
}

Duration milliseconds(const cxxopts::ParseResult &options, const std::string &name)
{
    return std::chrono::milliseconds(options[name].as<Duration::rep>());
}

void runEngine(const cxxopts::ParseResult &options, boost::asio::io_context &context)
{
    EngineSettings settings;
    settings.listenAddress = options["listen"].as<std::string>();
    settings.seats = options["seats"].as<std::uint32_t>();
    settings.prefillPerToken = Duration(options["prefill-us-per-token"].as<Duration::rep>());
    settings.tokenGap = Duration(options["token-gap-us"].as<Duration::rep>());
    settings.maxTokens = options["max-tokens"].as<std::uint32_t>();
    settings.loadLag = milliseconds(options, "load-lag-ms");
    settings.cacheEventLag = milliseconds(options, "cache-lag-ms");
    settings.cacheBlocks = options["cache-blocks"].as<std::size_t>();
    settings.checksFence = options.count("checks-fence") > 0;
    settings.loadingTime = milliseconds(options, "load-ms");
    EngineStandIn engine(settings, context, [&context]() { context.stop(); });
    boost::asio::signal_set signals(context, SIGTERM);
    signals.async_wait([&engine](const boost::system::error_code &error, int) {
        if (!error) {
            engine.leave();
        }
    });
    context.run();
}

void runUntilTerminated(boost::asio::io_context &context)
{
    boost::asio::signal_set signals(context, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    context.run();
}

void runService(const cxxopts::ParseResult &options, boost::asio::io_context &context)
{
    ServiceStandIn service({ options["listen"].as<std::string>(), milliseconds(options, "work-ms") }, context);
    runUntilTerminated(context);
}

void runPlatform(const cxxopts::ParseResult &options, boost::asio::io_context &context)
{
    PlatformStandIn platform(options["listen"].as<std::string>(), context);
    runUntilTerminated(context);
}

struct KindRow
{
    std::string_view name;
    void (*run)(const cxxopts::ParseResult &options, boost::asio::io_context &context);
};

constexpr KindRow Kinds[] = {
    { "engine", runEngine },
    { "service", runService },
    { "platform", runPlatform },
};

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options = makeOptions();
        cxxopts::ParseResult parsed = options.parse(argc, argv);
        std::string kind = parsed.count("kind") > 0 ? parsed["kind"].as<std::string>() : std::string();
        for (const KindRow &row : Kinds) {
            if (row.name == kind && parsed.count("listen") > 0) {
                boost::asio::io_context context;
                row.run(parsed, context);
                return 0;
            }
        }
        std::cerr << options.help();
        return UsageError;
    } catch (const std::exception &failure) {
        std::cerr << "geranium-standin: " << failure.what() << '\n';
        return 1;
    }
}
