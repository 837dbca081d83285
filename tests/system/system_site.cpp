#include "tests/system/system_site.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>

namespace GeraniumLever {

namespace {

constexpr std::chrono::seconds StartLimit { 60 };
constexpr std::chrono::milliseconds PollInterval { 50 };
constexpr const char *DataCenters[] = { "a", "b", "c" };
/** SHA-256 of "caller-key" and of "operator-key". */
constexpr const char *CallerKeyHash = "d9f376b9bf894cc2c24e74981b01839a2dcf84bf07c5bb6bea376e90c4c7ae81";
constexpr const char *OperatorKeyHash = "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818";

/** Finds free ports. Each stays bound until all are found, so that no port is found twice. */
class FreePortFinder
{
public:
    std::string reserve(const std::string &host)
    {
        acceptors_.emplace_back(context_, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address(host), 0));
        return host + ":" + std::to_string(acceptors_.back().local_endpoint().port());
    }

private:
    boost::asio::io_context context_;
    std::vector<boost::asio::ip::tcp::acceptor> acceptors_;
};

bool waitUntil(const std::function<bool()> &condition)
{
    std::chrono::steady_clock::time_point limit = std::chrono::steady_clock::now() + StartLimit;
    while (std::chrono::steady_clock::now() < limit) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

} // namespace

SystemSite::SystemSite()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "geranium-system-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("cannot create a folder " + pattern);
    }
    folder_ = pattern;
    FreePortFinder free;
    // Outgoing connections use ports of 127.0.0.1, so the platform listens on another address.
    platformAddress = free.reserve("127.0.0.9");
    for (int dataCenter = 0; dataCenter < 3; ++dataCenter) {
        std::string letter = DataCenters[dataCenter];
        std::string prefix = "127.0." + std::to_string(dataCenter + 1) + ".";
        for (int index = 1; index <= 3; ++index) {
            std::string host = prefix + std::to_string(index);
            SystemNode &node = nodes[letter + std::to_string(index)];
            node.name = letter + std::to_string(index);
            node.dataCenter = letter;
            node.callerAddress = free.reserve(host);
            node.operatorAddress = free.reserve(host);
            node.meshAddress = free.reserve(host);
        }
        for (const std::string &name : { "engine-" + letter + "1", "engine-" + letter + "2", "desk-" + letter + "1" }) {
            upstreams[name] = { name, letter, free.reserve(prefix + "100"), nullptr };
        }
    }
}

SystemSite::~SystemSite()
{
    nodes.clear();
    upstreams.clear();
    platform_.reset();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
}

bool SystemSite::start()
{
    platform_ = std::make_unique<ChildProcess>(
        std::vector<std::string> { GERANIUM_STANDIN, "platform", "--listen", platformAddress }, folder_ + "/platform");
    for (auto &[name, upstream] : upstreams) {
        startUpstream(upstream);
    }
    for (auto &[name, node] : nodes) {
        startNode(node);
    }
    SystemNode &first = nodes.begin()->second;
    bool accepted = waitUntil([this, &first]() {
        std::optional<HttpReply> ready = httpExchange(first.operatorAddress, { "GET", "/readyz", {}, "" });
        std::optional<HttpReply> reply;
        if (ready && ready->status == 200) {
            reply = sendOperatorRequest(first, "POST", "/admin/tickets", firstTicket());
        }
        return reply && reply->status == 200;
    });
    return accepted && waitForHead(1);
}

void SystemSite::startNode(SystemNode &node)
{
    std::string path = writeFile(node.name + ".yaml", settingsOf(node));
    node.process = std::make_unique<ChildProcess>(std::vector<std::string> { GERANIUM_LEVER, "--settings", path },
                                                  folder_ + "/" + node.name + ".log");
}

void SystemSite::startUpstream(SystemUpstream &upstream)
{
    bool isEngine = upstream.name.starts_with("engine");
    std::vector<std::string> command {
        GERANIUM_STANDIN, isEngine ? "engine" : "service", "--listen", upstream.address
    };
    if (isEngine) {
        command.insert(command.end(), { "--token-gap-us", "10000", "--seats", "16", "--max-tokens", "100" });
    }
    upstream.process = std::make_unique<ChildProcess>(command, folder_ + "/" + upstream.name + ".log");
}

std::string SystemSite::writeFile(const std::string &name, const std::string &content) const
{
    std::string path = folder_ + "/" + name;
    std::ofstream(path) << content;
    return path;
}

std::string SystemSite::logTails() const
{
    constexpr std::size_t MaxTailSize = 3000;
    std::string tails;
    for (const std::filesystem::directory_entry &entry : std::filesystem::directory_iterator(folder_)) {
        std::ifstream file(entry.path());
        std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
        std::size_t begin = text.size() > MaxTailSize ? text.size() - MaxTailSize : 0;
        tails += "== " + entry.path().filename().string() + "\n" + text.substr(begin) + "\n";
    }
    return tails;
}

bool SystemSite::waitForHead(std::uint64_t number)
{
    return waitUntil([this, number]() {
        for (const auto &[name, node] : nodes) {
            if (!node.process || node.process->exitCode()) {
                continue;
            }
            std::optional<HttpReply> state = sendOperatorRequest(node, "GET", "/admin/state");
            if (!state || state->status != 200) {
                return false;
            }
            boost::json::value parsed = boost::json::parse(state->body);
            if (parsed.at("head").to_number<std::uint64_t>() != number || parsed.at("state") != "ready") {
                return false;
            }
        }
        return true;
    });
}

void SystemSite::setFault(const std::string &address, const std::string &kind, std::uint64_t value)
{
    std::string body = R"({"kind":")" + kind + R"(","value":)" + std::to_string(value) + "}";
    httpExchange(address, { "POST", "/fault", {}, body });
}

std::optional<HttpReply> SystemSite::sendOperatorRequest(const SystemNode &node,
                                                         const std::string &method,
                                                         const std::string &target,
                                                         const std::string &body)
{
    return httpExchange(node.operatorAddress, { method, target, { { "Authorization", "Bearer operator-key" } }, body });
}

std::string SystemSite::schedulerSeenBy(const SystemNode &node)
{
    constexpr std::string_view Prefix = "scheduler=";
    std::optional<HttpReply> decisions = sendOperatorRequest(node, "GET", "/admin/decisions?last=100");
    std::size_t at = decisions ? decisions->body.rfind(Prefix) : std::string::npos;
    return at == std::string::npos ? std::string() : decisions->body.substr(at + Prefix.size(), 2);
}

std::map<std::string, std::uint64_t> SystemSite::executions()
{
    std::map<std::string, std::uint64_t> sums;
    for (const auto &[name, upstream] : upstreams) {
        std::optional<HttpReply> reply;
        if (name.starts_with("desk")) {
            reply = httpExchange(upstream.address, { "GET", "/counts", {}, "" });
        }
        if (!reply) {
            continue;
        }
        boost::json::value parsed = boost::json::parse(reply->body);
        for (const boost::json::key_value_pair &entry : parsed.at("counts").get_object()) {
            sums[std::string(entry.key())] += entry.value().to_number<std::uint64_t>();
        }
    }
    return sums;
}

std::string SystemSite::settingsOf(const SystemNode &node) const
{
    std::ostringstream text;
    text << "node: " << node.name << "\ndata_center: " << node.dataCenter << "\ncaller_address: " << node.callerAddress
         << "\noperator_address: " << node.operatorAddress << "\nmesh_address: " << node.meshAddress
         << "\nmesh_key: mesh-secret\ntable_address: " << platformAddress << "\nobject_address: " << platformAddress
         << "\nvm_list_address: " << platformAddress << "\noperator_key_hashes: [" << OperatorKeyHash << "]\npeers:\n";
    for (const auto &[name, peer] : nodes) {
        text << "  - { node: " << name << ", data_center: " << peer.dataCenter << ", mesh_address: \""
             << peer.meshAddress << "\", caller_address: \"" << peer.callerAddress << "\" }\n";
    }
    return text.str();
}

std::string SystemSite::firstTicket() const
{
    std::ostringstream text;
    text << "number: 1\nauthor: system-test\nchanges:\n"
            "  - {kind: class, name: live, tier: 0, default_deadline_ms: 30000}\n"
            "  - {kind: class, name: debit, tier: 1, idempotent: false, default_deadline_ms: 20000}\n"
            "  - {kind: model, name: large}\n"
            "  - {kind: pool, name: letters, model: large}\n"
            "  - {kind: pool, name: desk, service: desk}\n"
            "  - {kind: team, name: union, key_hashes: ["
         << CallerKeyHash << "]}\n";
    for (const auto &[name, upstream] : upstreams) {
        text << "  - {kind: upstream, name: " << name << ", pool: " << (name.starts_with("engine") ? "letters" : "desk")
             << ", data_center: " << upstream.dataCenter << ", address: \"" << upstream.address << "\", seats: 16}\n";
    }
    return text.str();
}

} // namespace GeraniumLever
