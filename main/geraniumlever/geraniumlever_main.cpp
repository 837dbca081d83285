/** The daemon that runs on every entry VM. */

#include <exception>
#include <iostream>
#include <string>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <glog/logging.h>

#include "core/core.h"
#include "main/node/node.h"
#include "platform/settings/settings.h"

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
void awaitStopSignal(boost::asio::signal_set &signals, EntryNode &node)
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

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("geraniumlever", "Routes language-model traffic by service levels and priorities.");
    options.add_options()("settings", "settings file (YAML)", cxxopts::value<std::string>()) //
        ("check", "only check the settings file and list every fault") //
        ("help", "print this help");
    std::string path;
    bool checkOnly = false;
    try {
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return Stopped;
        }
        path = arguments["settings"].as<std::string>();
        checkOnly = arguments.count("check") > 0;
    } catch (const std::exception &) {
        std::cerr << options.help();
        return BadArguments;
    }
    const SettingsResult result = readSettings(path);
    if (const std::vector<Fault> *faults = std::get_if<std::vector<Fault>>(&result)) {
        std::cerr << formatFaults(*faults) << '\n';
        return BadSettings;
    }
    if (checkOnly) {
        std::cout << path << ": no faults\n";
        return Stopped;
    }
    const Settings &settings = std::get<Settings>(result);
    startLogging(settings, argv[0]);
    return runNode(settings);
}
