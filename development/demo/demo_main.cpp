/** geranium-demo: runs a whole small site in one process, sends a few requests of each class, and prints what happened.
 */

#include <chrono>
#include <exception>
#include <iostream>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cxxopts.hpp>
#include <glog/logging.h>

#include "development/demo/demo_caller.h"
#include "development/demo/demo_site.h"

namespace {

using namespace GeraniumLever;

/** serveFor: how long the site stays up after the demo's own requests. */
int runDemo(std::uint16_t basePort, std::chrono::seconds serveFor)
{
    boost::asio::io_context context(1);
    DemoSite site(context, basePort);
    const Result<Success> started = site.start();
    if (!succeeded(started)) {
        std::cerr << errorOf(started).message << '\n';
        return 1;
    }
    bool answered = false;
    boost::asio::steady_timer serving(context);
    DemoCaller caller(site, context, [&context, &answered, &serving, serveFor](bool allAnswered) {
        answered = allAnswered;
        std::cout << "serving for " << serveFor.count() << " s" << std::endl;
        serving.expires_after(serveFor);
        serving.async_wait([&context](const boost::system::error_code &) { context.stop(); });
    });
    caller.start();
    context.run();
    return answered ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        cxxopts::Options options("geranium-demo", "Runs a small site in one process and sends a few requests.");
        options.add_options()(
            "base-port", "first of six ports", cxxopts::value<std::uint16_t>()->default_value("18080"));
        options.add_options()(
            "serve-s", "seconds to stay up afterwards", cxxopts::value<unsigned>()->default_value("0"));
        options.add_options()("log", "print the decision lines, too");
        const cxxopts::ParseResult arguments = options.parse(argc, argv);
        FLAGS_logtostderr = true;
        FLAGS_minloglevel = arguments.count("log") > 0 ? google::INFO : google::ERROR;
        google::InitGoogleLogging(argv[0]);
        const std::chrono::seconds serveFor(arguments["serve-s"].as<unsigned>());
        return runDemo(arguments["base-port"].as<std::uint16_t>(), serveFor);
    } catch (const std::exception &failure) {
        std::cerr << "geranium-demo: " << failure.what() << '\n';
        return 2;
    }
}
