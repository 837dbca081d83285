/** A small deployment for the review's scripts: relay processes, and stand-ins of the store, servers and clients. */
#pragma once

#include <chrono>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <development/platform_standins/platform_standins.h>

namespace GeraniumLever {

/** Exit codes of a script. */
enum class Verdict : int {
    Held = 0,
    Broken = 1,
    CannotRun = 2,
};

/** A process of the system under test. Signals go to its process id only. */
struct RelayProcess
{
    std::string node;
    std::string zone;
    std::string callerAddress;
    std::string statusAddress;
    std::string peerAddress;
    std::string settingsPath;
    std::string outputPath;
    pid_t pid = -1;

    bool isRunning() const { return pid > 0; }
};

/** One registered server and what it writes into the store. */
struct RegisteredServer
{
    std::string id;
    std::string service;
    std::string zone;
    std::string version;
    std::uint32_t slots = 8;
    std::int64_t born = 0;
    std::string address;
    std::unique_ptr<ServerStandIn> server;
};

/** What a client has received of a response. */
struct ClientResponse
{
    unsigned status = 0;
    std::string head;
    /** Without the framing of chunks. */
    std::string body;
    bool complete = false;

    /** The value of a header field; empty if there is none. */
    std::string field(const std::string &name) const;
};

/** A client's connection with at most one request at a time. */
class Client : public std::enable_shared_from_this<Client>
{
public:
    explicit Client(boost::asio::io_context &context) : socket_(context) { }

    /** Connects and sends the text. */
    void start(const std::string &address, std::string text);
    void close();

    bool ended() const { return ended_; }
    ClientResponse response() const;

private:
    void read();

    boost::asio::ip::tcp::socket socket_;
    std::string text_;
    std::array<char, 16384> buffer_ {};
    std::string received_;
    bool ended_ = false;
};

class Deployment
{
public:
    /** recordPath: the file for what was sent, answered and run. The working folder must be the repository's root.
     *  SIGTERM and SIGINT end the next wait with an exception, so that the destructor ends all processes. */
    explicit Deployment(const std::string &recordPath);
    ~Deployment();

    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** False if the environment asks for a run without the disruption. */
    static bool isTroubled();

    /** Writes the configuration: the routes /chat/ (resumable stream), /read/ and /letter/ (idempotent, the latter with
     * a long timeout) and /pay/ (not idempotent).
     */
    void writeConfiguration();
    /** The same configuration with another version, and another service for /pay/. */
    static std::string configurationText(int version, const std::string &payService);

    /** Starts a server and registers it. */
    RegisteredServer &addServer(const std::string &id,
                                const std::string &service,
                                const std::string &zone,
                                const std::string &version,
                                std::uint32_t slots);
    /** Writes the server's entry as the server itself does. */
    void registerServer(const RegisteredServer &server);
    static std::string entryOf(const RegisteredServer &server);

    /** Relays that are added afterwards use this store instead of the stand-in. */
    void setStoreAddress(const std::string &address) { storeAddress_ = address; }

    /** Starts a relay process with the command of the deploy file; does not wait for it. */
    RelayProcess &addRelay(const std::string &node, const std::string &zone);
    void startRelay(RelayProcess &relay);
    void signalRelay(const RelayProcess &relay, int number);
    /** Kills the process and waits for its end. */
    void killRelay(RelayProcess &relay);
    /** Waits until each running relay says that it is ready. */
    bool awaitReady();
    /** True if the relay says that it is ready. */
    bool isReady(const RelayProcess &relay);

    std::shared_ptr<Client> send(const std::string &address, const std::string &text);
    /** Formats a request. fields: further header lines with their line ends. */
    static std::string request(const std::string &id,
                               const std::string &method,
                               const std::string &path,
                               const std::string &body,
                               const std::string &fields);

    bool runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit);
    void runFor(std::chrono::milliseconds time);

    /** Writes a line with the time into the record. */
    void record(const std::string &line);

    boost::asio::io_context &context() { return context_; }
    StoreStandIn &store() { return store_; }
    RunLedger &ledger() { return ledger_; }
    std::deque<RelayProcess> &relays() { return relays_; }
    std::deque<RegisteredServer> &servers() { return servers_; }

private:
    std::string settingsOf(const RelayProcess &relay) const;
    std::string freeAddress();

    boost::asio::io_context context_;
    std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
    std::string temporaryFolder_;
    std::vector<std::string> command_;
    std::ofstream record_;
    RunLedger ledger_;
    StoreStandIn store_;
    std::string storeAddress_;
    std::deque<RegisteredServer> servers_;
    std::deque<RelayProcess> relays_;
};

/** Reports the verdict in the record and on standard output, and returns it as an exit code. */
int finish(Deployment &deployment, Verdict verdict, const std::string &reason);

} // namespace GeraniumLever
