#include "review/support/deployment.h"

#include <algorithm>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

namespace GeraniumLever {

namespace {

namespace asio = boost::asio;

constexpr const char *SettingsVariable = "GERANIUMLEVER_SETTINGS";

volatile std::sig_atomic_t isStopped = 0;

void stopScript(int)
{
    isStopped = 1;
}

asio::ip::tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    return { asio::ip::make_address(address.substr(0, colon)),
             static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) };
}

/** The words of the line "run" in the deploy file. */
std::vector<std::string> readCommand()
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    while (std::getline(file, line)) {
        if (!line.starts_with("run = \"")) {
            continue;
        }
        const std::size_t begin = line.find('"') + 1;
        std::istringstream words(line.substr(begin, line.rfind('"') - begin));
        std::vector<std::string> command;
        std::string word;
        while (words >> word) {
            command.push_back(word);
        }
        return command;
    }
    throw std::runtime_error("deploy/system.toml has no line \"run\"");
}

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/** Removes the framing of chunks; returns false if the last chunk is missing. */
bool decodeChunks(const std::string &text, std::string &body)
{
    for (std::size_t position = 0;;) {
        const std::size_t line = text.find("\r\n", position);
        if (line == std::string::npos) {
            return false;
        }
        std::size_t size = 0;
        std::from_chars(text.data() + position, text.data() + line, size, 16);
        if (size == 0) {
            return true;
        }
        body += text.substr(line + 2, size);
        position = line + 2 + size + 2;
        if (position > text.size()) {
            return false;
        }
    }
}

} // namespace

std::string ClientResponse::field(const std::string &name) const
{
    const std::size_t found = head.find("\r\n" + name + ": ");
    if (found == std::string::npos) {
        return {};
    }
    const std::size_t begin = found + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

void Client::start(const std::string &address, std::string text)
{
    text_ = std::move(text);
    socket_.async_connect(
        endpointOf(address), [self = shared_from_this()](const boost::system::error_code &connectError) {
            if (connectError) {
                self->ended_ = true;
                return;
            }
            asio::async_write(
                self->socket_, asio::buffer(self->text_), [self](const boost::system::error_code &, std::size_t) {});
            self->read();
        });
}

void Client::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

void Client::read()
{
    socket_.async_read_some(asio::buffer(buffer_),
                            [self = shared_from_this()](const boost::system::error_code &error, std::size_t bytes) {
                                self->received_.append(self->buffer_.data(), bytes);
                                self->ended_ = static_cast<bool>(error);
                                if (!error) {
                                    self->read();
                                }
                            });
}

ClientResponse Client::response() const
{
    ClientResponse response;
    const std::size_t headEnd = received_.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return response;
    }
    response.head = received_.substr(0, headEnd + 2);
    response.status = static_cast<unsigned>(std::stoul(response.head.substr(9, 3)));
    const std::string rest = received_.substr(headEnd + 4);
    if (response.field("Transfer-Encoding") == "chunked") {
        response.complete = decodeChunks(rest, response.body);
        return response;
    }
    const std::string length = response.field("Content-Length");
    response.body = rest;
    response.complete = !length.empty() && rest.size() >= std::stoul(length);
    return response;
}

Deployment::Deployment(const std::string &recordPath)
    : command_(readCommand()), record_(recordPath), store_(context_, "127.0.0.1:0")
{
    std::signal(SIGTERM, stopScript);
    std::signal(SIGINT, stopScript);
    std::string pattern = (std::filesystem::temp_directory_path() / "geranium-review-XXXXXX").string();
    temporaryFolder_ = mkdtemp(pattern.data());
    storeAddress_ = store_.address();
    record(isTroubled() ? "with the disruption" : "without the disruption (TROUBLE=0)");
}

Deployment::~Deployment()
{
    for (RelayProcess &relay : relays_) {
        killRelay(relay);
    }
    if (std::getenv("KEEP_OUTPUT") == nullptr) {
        std::filesystem::remove_all(temporaryFolder_);
    } else {
        std::cout << "output of the processes: " << temporaryFolder_ << '\n';
    }
}

bool Deployment::isTroubled()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

void Deployment::writeConfiguration()
{
    store_.put("op", "config", configurationText(1, "app"));
}

std::string Deployment::configurationText(int version, const std::string &payService)
{
    const auto route = [](const std::string &name, const std::string &more) {
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"path_prefix\":\"/" + name + "/\"," + more + "}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":["
        + route("chat",
                "\"kind\":\"stream\",\"resumable\":true,\"sticky\":true,\"service\":\"llm\",\"timeout_ms\":10000,"
                "\"target_latency_ms\":300,\"gap_aim_ms\":200,\"priority\":0,\"max_attempts\":2")
        + ","
        + route("read",
                "\"kind\":\"idempotent\",\"service\":\"app\",\"timeout_ms\":1500,\"target_latency_ms\":300,"
                "\"priority\":2,\"max_attempts\":2")
        + ","
        + route("letter",
                "\"kind\":\"idempotent\",\"service\":\"app\",\"timeout_ms\":10000,\"target_latency_ms\":1500,"
                "\"priority\":2,\"max_attempts\":2")
        + ","
        + route("pay",
                "\"kind\":\"non_idempotent\",\"service\":\"" + payService
                    + "\",\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":2,\"max_attempts\":1")
        + "],\"services\":[{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":110},"
          "{\"name\":\"app-next\",\"health_path\":\"/healthz\",\"max_conns\":110},"
          "{\"name\":\"llm\",\"health_path\":\"/healthz\",\"max_conns\":310,"
          "\"engine\":{\"slots\":48,\"kv_capacity\":444000}}],"
          "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
          "\"idle_timeout_ms\":15000},"
          "\"tenants\":[{\"name\":\"branch-1\",\"api_keys\":[\"key-one\"]}]}";
}

RegisteredServer &Deployment::addServer(const std::string &id,
                                        const std::string &service,
                                        const std::string &zone,
                                        const std::string &version,
                                        std::uint32_t slots)
{
    ServerSettings settings;
    settings.listenAddress = "127.0.0.1:0";
    settings.id = id;
    settings.service = service;
    settings.zone = zone;
    settings.slots = slots;
    settings.version = version;
    servers_.push_back({ id,
                         service,
                         zone,
                         version,
                         slots,
                         unixMilliseconds(),
                         {},
                         std::make_unique<ServerStandIn>(settings, context_, ledger_) });
    servers_.back().address = servers_.back().server->address();
    registerServer(servers_.back());
    return servers_.back();
}

void Deployment::registerServer(const RegisteredServer &server)
{
    store_.put("servers", server.id, entryOf(server));
}

std::string Deployment::entryOf(const RegisteredServer &server)
{
    return boost::json::serialize(boost::json::object { { "service", server.service },
                                                        { "address", server.address },
                                                        { "zone", server.zone },
                                                        { "version", server.version },
                                                        { "slots", server.slots },
                                                        { "state", "ready" },
                                                        { "cold_left_ms", 0 },
                                                        { "seq", 1 },
                                                        { "born", server.born } });
}

RelayProcess &Deployment::addRelay(const std::string &node, const std::string &zone)
{
    RelayProcess relay;
    relay.node = node;
    relay.zone = zone;
    relay.callerAddress = freeAddress();
    relay.statusAddress = freeAddress();
    relay.peerAddress = freeAddress();
    relay.settingsPath = temporaryFolder_ + "/" + node + ".yaml";
    relay.outputPath = temporaryFolder_ + "/" + node + ".log";
    std::ofstream(relay.settingsPath) << settingsOf(relay);
    relays_.push_back(std::move(relay));
    startRelay(relays_.back());
    return relays_.back();
}

std::string Deployment::settingsOf(const RelayProcess &relay) const
{
    // What deploy/relay.yaml.template gives with the values of the example in the users' page on deployments.
    return "node: \"" + relay.node + "\"\ndata_center: \"" + relay.zone + "\"\ncaller_address: \"" + relay.callerAddress
        + "\"\nstatus_address: \"" + relay.statusAddress + "\"\nstore_address: \"" + storeAddress_
        + "\"\npeer_address: \"" + relay.peerAddress
        + "\"\nprocessor_share: 0.25\nkey_lifetime_ms: 5000\napply_time_ms: 2000\nfirst_start: true\n"
          "upstream_heartbeat_ms: 1200\nrepeat_ratio: 0.2\nrepeat_slack: 58\nrepeat_window_s: 10\nstop_limit_s: 8\n";
}

std::string Deployment::freeAddress()
{
    // Below the range from which the system picks the ports of outgoing connections.
    constexpr int FirstPort = 10240;
    constexpr int BlockSize = 256;
    constexpr int Blocks = 80;
    static int picked = 0;
    while (true) {
        const int number = FirstPort + ::getpid() % Blocks * BlockSize + picked++ % BlockSize;
        const std::uint16_t port = static_cast<std::uint16_t>(number);
        const asio::ip::address_v4 loopback = asio::ip::address_v4::loopback();
        asio::ip::tcp::acceptor stream(context_, asio::ip::tcp::v4());
        asio::ip::udp::socket datagrams(context_, asio::ip::udp::v4());
        boost::system::error_code streamError;
        boost::system::error_code datagramError;
        stream.bind({ loopback, port }, streamError);
        datagrams.bind({ loopback, port }, datagramError);
        if (!streamError && !datagramError) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

void Deployment::startRelay(RelayProcess &relay)
{
    ::setenv(SettingsVariable, relay.settingsPath.c_str(), 1);
    std::vector<char *> arguments;
    arguments.reserve(command_.size() + 1);
    for (std::string &word : command_) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions, STDOUT_FILENO, relay.outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, S_IRUSR | S_IWUSR);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // The process must not inherit the sockets of the stand-ins.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    const int failure = posix_spawn(&relay.pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        relay.pid = -1;
        throw std::runtime_error("cannot start " + command_[0]);
    }
}

void Deployment::signalRelay(const RelayProcess &relay, int number)
{
    if (relay.isRunning()) {
        ::kill(relay.pid, number);
    }
}

void Deployment::killRelay(RelayProcess &relay)
{
    if (!relay.isRunning()) {
        return;
    }
    ::kill(relay.pid, SIGKILL);
    int status = 0;
    ::waitpid(relay.pid, &status, 0);
    relay.pid = -1;
}

bool Deployment::isReady(const RelayProcess &relay)
{
    const std::shared_ptr<Client> probe = send(relay.statusAddress, "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n");
    runUntil([&]() { return probe->ended() || probe->response().status != 0; }, std::chrono::seconds(1));
    const unsigned status = probe->response().status;
    probe->close();
    return status == 200;
}

bool Deployment::awaitReady()
{
    constexpr std::chrono::seconds Limit(15);
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + Limit;
    for (const RelayProcess &relay : relays_) {
        while (relay.isRunning() && !isReady(relay)) {
            if (std::chrono::steady_clock::now() >= end) {
                return false;
            }
            runFor(std::chrono::milliseconds(20));
        }
    }
    return true;
}

std::shared_ptr<Client> Deployment::send(const std::string &address, const std::string &text)
{
    const std::shared_ptr<Client> client = std::make_shared<Client>(context_);
    const std::size_t id = text.find("Request-Id: ");
    if (id != std::string::npos) {
        record("sent to " + address + ": " + text.substr(0, text.find(" HTTP/1.1")) + ", "
               + text.substr(id, text.find("\r\n", id) - id));
    }
    client->start(address, text);
    return client;
}

std::string Deployment::request(const std::string &id,
                                const std::string &method,
                                const std::string &path,
                                const std::string &body,
                                const std::string &fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
        + "\r\nAuthorization: Bearer key-one\r\n" + fields + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

bool Deployment::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (isStopped != 0) {
            throw std::runtime_error("the script was stopped");
        }
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        context_.restart();
        context_.run_one_for(std::chrono::milliseconds(5));
    }
    return true;
}

void Deployment::runFor(std::chrono::milliseconds time)
{
    runUntil([]() { return false; }, time);
}

void Deployment::record(const std::string &line)
{
    const auto passed = std::chrono::steady_clock::now() - startedAt_;
    record_ << std::chrono::duration_cast<std::chrono::milliseconds>(passed).count() << " ms: " << line << std::endl;
}

int finish(Deployment &deployment, Verdict verdict, const std::string &reason)
{
    const std::string text = verdict == Verdict::Held ? "the rule held"
        : verdict == Verdict::Broken                  ? "the rule was broken"
                                                      : "the case could not run";
    for (const auto &[request, runs] : deployment.ledger()) {
        for (const ServerRun &run : runs) {
            deployment.record("run: " + request + " (" + run.method + " " + run.target + ") by " + run.server
                              + ", software version " + run.version + ", after event "
                              + std::to_string(run.lastEventId));
        }
    }
    deployment.record(text + ": " + reason);
    std::cout << text << ": " << reason << std::endl;
    return static_cast<int>(verdict);
}

} // namespace GeraniumLever
