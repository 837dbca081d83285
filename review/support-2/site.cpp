#include "review/support-2/site.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "review/support-2/http_exchange.h"

namespace Review {

namespace {

constexpr milliseconds HeartbeatPeriod(1200);
constexpr const char *Program = "target/main/geraniumlever/geraniumlever";

/** A port that nothing listens on, below those that the system gives to outgoing connections, so that it stays free
 * while its server is down. */
int unusedPort()
{
    constexpr int FirstPort = 10000;
    constexpr int Ports = 20000;
    static std::minstd_rand random(std::random_device {}());
    for (;;) {
        const int port = FirstPort + static_cast<int>(random() % Ports);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool isFree = bind(probe, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
        close(probe);
        if (isFree) {
            return port;
        }
    }
}

std::string unusedAddress()
{
    return "127.0.0.1:" + std::to_string(unusedPort());
}

std::uint64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

Record::Record(const std::string &path) : file_(path), start_(std::chrono::steady_clock::now()) { }

void Record::add(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto passed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start_);
    std::ostringstream text;
    text << passed.count() << " ms: " << line;
    file_ << text.str() << '\n' << std::flush;
}

Server::Server(boost::asio::io_context &context, GeraniumLever::StoreStandIn &store, ServerSettings settings, Work work)
    : context_(context), store_(store), settings_(std::move(settings)), work_(std::move(work)), heartbeat_(context)
{
}

void Server::start()
{
    if (address_.empty()) {
        address_ = unusedAddress();
    }
    listener_ = std::make_unique<GeraniumLever::RawServer>(
        context_, address_, [this](const Session &session, const Request &request) { handle(session, request); });
    state_ = "ready";
    born_ = unixMilliseconds();
    sequence_ = 0;
    beat();
}

void Server::kill()
{
    heartbeat_.cancel();
    if (listener_ != nullptr) {
        listener_->stop();
    }
}

void Server::drain()
{
    state_ = "draining";
    beat();
}

void Server::exit()
{
    for (const std::weak_ptr<GeraniumLever::RawSession> &weak : std::exchange(sessions_, {})) {
        const std::shared_ptr<GeraniumLever::RawSession> session = weak.lock();
        if (session != nullptr) {
            session->closeAfterSending();
        }
    }
    kill();
}

void Server::beat()
{
    ++sequence_;
    store_.put("servers", settings_.id, entry());
    scheduleHeartbeat();
}

std::string Server::loseHeartbeat()
{
    ++sequence_;
    scheduleHeartbeat();
    return entry();
}

void Server::scheduleHeartbeat()
{
    heartbeat_.expires_after(HeartbeatPeriod);
    heartbeat_.async_wait([this](const boost::system::error_code &cancelled) {
        if (!cancelled) {
            beat();
        }
    });
}

std::string Server::entry(const std::string &state) const
{
    return R"({"service":")" + settings_.service + R"(","address":")" + address_ + R"(","zone":")" + settings_.zone
        + R"(","version":")" + settings_.version + R"(","slots":)" + std::to_string(settings_.slots) + R"(,"state":")"
        + state + R"(","cold_left_ms":0,"born":)" + std::to_string(born_) + R"(,"seq":)" + std::to_string(sequence_)
        + "}";
}

std::string Server::head(unsigned status, const Request &request, const std::string &fields) const
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + std::string(request["Request-Id"])
        + "\r\nServer-Seal: seal." + settings_.id + "\r\n" + fields;
}

void Server::handle(const Session &session, const Request &request)
{
    const std::string expected(request["Expect-Instance"]);
    if (!expected.empty() && expected != settings_.id) {
        session->send(head(421, request, "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"));
        session->finish();
        return;
    }
    work_(*this, session, request);
}

Site::Site(std::string folder)
    : folder_(std::move(folder)), work_(boost::asio::make_work_guard(context_)), store_(context_, unusedAddress())
{
    thread_ = std::thread([this] { context_.run(); });
}

Site::~Site()
{
    for (const Relay &relay : relays_) {
        ::kill(relay.process, SIGKILL);
        waitpid(relay.process, nullptr, 0);
    }
    onLoop([this] {
        for (Server &server : servers_) {
            server.kill();
        }
    });
    context_.stop();
    thread_.join();
}

void Site::onLoop(const std::function<void()> &step)
{
    std::promise<void> done;
    boost::asio::post(context_, [&] {
        step();
        done.set_value();
    });
    done.get_future().wait();
}

void Site::configure(const std::string &json)
{
    onLoop([&] { store_.put("op", "config", json); });
}

Server &Site::addServer(const ServerSettings &settings, const Server::Work &work)
{
    onLoop([&] {
        servers_.emplace_back(context_, store_, settings, work);
        servers_.back().start();
    });
    return servers_.back();
}

Relay &Site::addRelay(const std::string &zone, const std::string &store)
{
    Relay relay;
    relay.node = "front-" + zone + "-" + std::to_string(relays_.size() + 1);
    relay.zone = zone;
    relay.callerAddress = unusedAddress();
    relay.statusAddress = unusedAddress();
    relay.settingsPath = folder_ + "/" + relay.node + ".yaml";
    relay.outputPath = folder_ + "/" + relay.node + ".log";
    relay.settings = "node: " + relay.node + "\ndata_center: " + zone + "\ncaller_address: " + relay.callerAddress
        + "\nstatus_address: " + relay.statusAddress + "\nstore_address: " + (store.empty() ? store_.address() : store)
        + "\npeer_address: \"" + unusedAddress() + "\"\nprocessor_share: 0.25\nkey_lifetime_ms: 5000"
        + "\napply_time_ms: 2000\nupstream_heartbeat_ms: 1200\nrepeat_ratio: 0.2\nrepeat_slack: 58"
        + "\nrepeat_window_s: 10\nstop_limit_s: 8\n";
    launch(relay, true);
    relays_.push_back(relay);
    return relays_.back();
}

void Site::startAgain(Relay &relay)
{
    launch(relay, false);
}

void Site::launch(Relay &relay, bool isFirstStart)
{
    std::ofstream(relay.settingsPath) << relay.settings << (isFirstStart ? "first_start: true\n" : "");
    const std::string variable = "GERANIUMLEVER_SETTINGS=" + relay.settingsPath;
    relay.process = fork();
    if (relay.process != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(relay.outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // The process must not keep the listening sockets of servers open.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    const char *const arguments[] = { Program, "--relay", nullptr };
    const char *const environment[] = { variable.c_str(), "LANG=C", nullptr };
    execve(Program, const_cast<char *const *>(arguments), const_cast<char *const *>(environment));
    _exit(127);
}

bool Site::waitUntilReady(milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    for (const Relay &relay : relays_) {
        for (;;) {
            const Answer answer =
                exchange(relay.statusAddress, "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n", milliseconds(500));
            if (answer.status == 200) {
                break;
            }
            if (std::chrono::steady_clock::now() >= until) {
                return false;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    return true;
}

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace Review
