/** Entry point of the daemon that runs on every entry VM. */

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
#include "drivers/http/http.h"
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

void reportUnexpected(const std::exception &error)
{
    LOG(ERROR) << "event=unexpected_error message=\"" << error.what() << '"';
}

/** Stops the node on a signal, then waits for the next one; a second SIGTERM has no effect. */
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
    runGuarded(context, reportUnexpected);
    return Stopped;
}

/** How often a relay's settings file is read again and compared with the settings in use. */
constexpr std::chrono::seconds SettingsCheckPeriod(1);

/** Applies changes of a relay's settings file, on SIGHUP and by polling. */
class SettingsWatcher
{
public:
    SettingsWatcher(boost::asio::io_context &context, std::string path, RelayNode &node)
        : timer_(context), signals_(context, SIGHUP), path_(std::move(path)), node_(node)
    {
    }

    void start()
    {
        awaitSignal();
        awaitTimer();
    }

private:
    void awaitSignal()
    {
        signals_.async_wait([this](const boost::system::error_code &failure, int) {
            if (!failure) {
                LOG(INFO) << "event=reload_requested";
                checkSettings();
                awaitSignal();
            }
        });
    }

    void awaitTimer()
    {
        timer_.expires_after(SettingsCheckPeriod);
        timer_.async_wait([this](const boost::system::error_code &failure) {
            if (!failure) {
                checkSettings();
                awaitTimer();
            }
        });
    }

    void checkSettings()
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
    /** Faults found by the last check, so that a file that stays faulty is reported only once. */
    std::string lastFaults_;
};

int runRelay(const std::string &path, const RelaySettings &settings, const char *program)
{
    google::InitGoogleLogging(program);
    NonBlockingLogSink log(STDOUT_FILENO);
    disableOtherLogDestinations(log);
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    RelayNode node(settings, context, log, [&context]() { context.stop(); });
    const Result<Success> started = node.start();
    if (!succeeded(started)) {
        LOG(ERROR) << "event=start_failed message=\"" << errorOf(started).message << '"';
        return CannotRun;
    }
    awaitStopSignal(signals, node);
    SettingsWatcher watcher(context, path, node);
    watcher.start();
    runGuarded(context, reportUnexpected);
    return Stopped;
}

/** The path from the command line, or else from the environment; empty if neither names one. */
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
                          "settings file (YAML); default: the path in GERANIUMLEVER_SETTINGS",
                          cxxopts::value<std::string>()) //
        ("relay", "forward requests unchanged, by routes and upstreams from the platform's store") //
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
