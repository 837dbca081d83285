/** The daemon that runs on every entry VM. */

#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <variant>

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <glog/logging.h>

#include "core/core.h"
#include "drivers/settings/settings.h"
#include "main/node/node.h"
#include "main/relay/relay.h"

namespace {

using namespace GeraniumLever;

/** Exit codes; docs/OPERATORS.md lists them. */
enum ExitCode : int {
    Stopped = 0,
    CannotRun = 1,
    BadArguments = 2,
    BadSettings = 3,
};

void startLogging(const Settings &settings, const char *program)
{
    if (settings.logFolder.empty()) {
        FLAGS_logtostderr = true;
    } else {
        FLAGS_log_dir = settings.logFolder;
    }
    google::InitGoogleLogging(program);
}

/** A signal handler that waits for the next signal each time, so that a second SIGTERM changes nothing. */
template<typename Node>
void awaitStopSignal(boost::asio::signal_set &signals, Node &node)
{
    signals.async_wait([&signals, &node](const boost::system::error_code &failure, int) {
        if (failure) {
            return;
        }
        node.stop();
        awaitStopSignal(signals, node);
    });
}

int runNode(const Settings &settings)
{
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    EntryNode node(settings, context, [&context]() { context.stop(); });
    const Result<Success> started = node.start();
    if (!succeeded(started)) {
        LOG(ERROR) << "event=start_failed message=\"" << errorOf(started).message << '"';
        return CannotRun;
    }
    LOG(INFO) << "event=started node=" << settings.node.text() << " data_center=" << settings.dataCenter.text();
    awaitStopSignal(signals, node);
    context.run();
    return Stopped;
}

/** How often the settings file of a relay is compared with what is in use. */
constexpr std::chrono::seconds SettingsCheckPeriod(1);

/** Follows changes of a relay's settings file, which may come with SIGHUP or without a signal. */
class SettingsFollower
{
public:
    SettingsFollower(boost::asio::io_context &context, std::string path, RelayNode &node)
        : timer_(context), signals_(context, SIGHUP), path_(std::move(path)), node_(node)
    {
    }

    void start()
    {
        awaitSignal();
        awaitTime();
    }

private:
    void awaitSignal()
    {
        signals_.async_wait([this](const boost::system::error_code &failure, int) {
            if (!failure) {
                LOG(INFO) << "event=reload_requested";
                check();
                awaitSignal();
            }
        });
    }

    void awaitTime()
    {
        timer_.expires_after(SettingsCheckPeriod);
        timer_.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                check();
                awaitTime();
            }
        });
    }

    void check()
    {
        const RelaySettingsResult result = readRelaySettings(path_);
        const std::vector<Fault> *faults = std::get_if<std::vector<Fault>>(&result);
        const std::string text = faults == nullptr ? std::string() : formatFaults(*faults);
        if (faults == nullptr) {
            node_.reload(std::get<RelaySettings>(result));
        } else if (text != lastFaults_) {
            LOG(ERROR) << "event=reload_failed message=\"" << text << '"';
        }
        lastFaults_ = text;
    }

    boost::asio::steady_timer timer_;
    boost::asio::signal_set signals_;
    std::string path_;
    RelayNode &node_;
    /** So that a file that stays faulty is reported once. */
    std::string lastFaults_;
};

int runRelay(const std::string &path, const RelaySettings &settings, const char *program)
{
    google::InitGoogleLogging(program);
    LineLog log(STDOUT_FILENO);
    logOnlyTo(log);
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    RelayNode node(settings, context, log, [&context]() { context.stop(); });
    const Result<Success> started = node.start();
    if (!succeeded(started)) {
        LOG(ERROR) << "event=start_failed message=\"" << errorOf(started).message << '"';
        return CannotRun;
    }
    awaitStopSignal(signals, node);
    SettingsFollower follower(context, path, node);
    follower.start();
    context.run();
    return Stopped;
}

/** The path given on the command line, or else in the environment; empty if there is none. */
std::string settingsPath(const cxxopts::ParseResult &arguments)
{
    if (arguments.count("settings") > 0) {
        return arguments["settings"].as<std::string>();
    }
    const char *path = std::getenv("GERANIUMLEVER_SETTINGS");
    return path == nullptr ? std::string() : std::string(path);
}

int reportFaults(const std::vector<Fault> &faults)
{
    std::cerr << formatFaults(faults) << '\n';
    return BadSettings;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("geraniumlever", "Routes language-model traffic by service levels and priorities.");
    options.add_options()("settings",
                          "settings file (YAML); GERANIUMLEVER_SETTINGS names it if this is absent",
                          cxxopts::value<std::string>()) //
        ("relay", "pass requests on unchanged, by routes and upstreams from the platform's store") //
        ("check", "only check the settings file and list every fault") //
        ("help", "print this help");
    std::string path;
    bool checkOnly = false;
    bool relay = false;
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return Stopped;
        }
        path = settingsPath(arguments);
        checkOnly = arguments.count("check") > 0;
        relay = arguments.count("relay") > 0;
    } catch (const std::exception &) {
        std::cerr << options.help();
        return BadArguments;
    }
    if (path.empty()) {
        std::cerr << options.help();
        return BadArguments;
    }
    const RelaySettingsResult relayResult = relay ? readRelaySettings(path) : RelaySettingsResult();
    const SettingsResult result = relay ? SettingsResult() : readSettings(path);
    if (const std::vector<Fault> *faults = std::get_if<std::vector<Fault>>(&relayResult)) {
        return reportFaults(*faults);
    }
    if (const std::vector<Fault> *faults = std::get_if<std::vector<Fault>>(&result)) {
        return reportFaults(*faults);
    }
    if (checkOnly) {
        std::cout << path << ": no faults\n";
        return Stopped;
    }
    if (relay) {
        return runRelay(path, std::get<RelaySettings>(relayResult), argv[0]);
    }
    const Settings &settings = std::get<Settings>(result);
    startLogging(settings, argv[0]);
    return runNode(settings);
}
