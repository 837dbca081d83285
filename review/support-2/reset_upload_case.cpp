/** Servers answer uploads early, without a length, and break some of these answers off with a reset. */
#include <algorithm>
#include <atomic>
#include <cerrno>
#include <random>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/support-2/http_exchange.h"
#include "review/support-2/site.h"

namespace Review {

namespace {

constexpr int Servers = 7;
/** Each time others of the servers break off every thirty-fourth answer. */
constexpr int FaultyServers = 4;
constexpr int BrokenOffEvery = 34;
constexpr int Times = 4;
constexpr int Relays = 6;
constexpr milliseconds FaultyTime(5000);
constexpr milliseconds SoundTime(2000);
constexpr std::size_t UploadBytes = 4 * 1024 * 1024;
constexpr int Clients = 12;
constexpr milliseconds ClientPause(20);
/** Longest time from the first part of an answer to its end. */
constexpr int MaxPauseMicroseconds = 3000;
constexpr std::size_t PartBytes = 400;

constexpr const char *Configuration =
    R"({"version":5,"routes":[{"name":"import","host":"a.example","path_prefix":"/import/","kind":"non_idempotent",)"
    R"("service":"imports","timeout_ms":5000,"target_latency_ms":1000,"priority":1,"max_attempts":1}],)"
    R"("services":[{"name":"imports","health_path":"/healthz","max_conns":300}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":4000,"idle_timeout_ms":8000}})";

/** The whole body of the answer to a request. */
std::string wholeBody(const std::string &id)
{
    std::string body;
    while (body.size() < 2 * PartBytes) {
        body += "line " + std::to_string(body.size()) + " of the answer to " + id + "\n";
    }
    return body;
}

/** Value of a field of a head; empty if there is none. */
std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::string begin = "\r\n" + name + ": ";
    const std::size_t at = head.find(begin);
    if (at == std::string::npos) {
        return "";
    }
    const std::size_t value = at + begin.size();
    return head.substr(value, head.find("\r\n", value) - value);
}

bool sendBytes(int connection, const std::string &bytes)
{
    return send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
}

/** A server with a thread for each connection, which reads an upload while it answers. */
class UploadServer
{
public:
    UploadServer(Record &record, std::string id, std::string zone)
        : record_(record), id_(std::move(id)), zone_(std::move(zone)), random_(std::random_device {}())
    {
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        bind(listener_, reinterpret_cast<const sockaddr *>(&address), size);
        listen(listener_, 128);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
        accepting_ = std::thread([this] { accept(); });
    }

    ~UploadServer()
    {
        stopped_ = true;
        accepting_.join();
        for (std::thread &thread : threads_) {
            thread.join();
        }
        ::close(listener_);
    }

    UploadServer(const UploadServer &) = delete;
    UploadServer &operator=(const UploadServer &) = delete;

    std::string entry(int sequence) const
    {
        return R"({"service":"imports","address":"127.0.0.1:)" + std::to_string(port_) + R"(","zone":")" + zone_
            + R"(","version":"1.0","slots":48,"state":"ready","cold_left_ms":0,"born":1,"seq":)"
            + std::to_string(sequence) + "}";
    }

    const std::string &id() const { return id_; }
    void setFaulty(bool faulty) { faulty_ = faulty; }
    int answers() const { return answers_; }
    int brokenOff() const { return brokenOff_; }

private:
    void accept()
    {
        while (waitForInput(listener_)) {
            const int connection = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection >= 0) {
                threads_.emplace_back([this, connection] { serve(connection); });
            }
        }
    }

    /** False once the server is to end. */
    bool waitForInput(int descriptor) const
    {
        constexpr int PollMilliseconds = 100;
        while (!stopped_) {
            pollfd entry { descriptor, POLLIN, 0 };
            if (poll(&entry, 1, PollMilliseconds) > 0) {
                return true;
            }
        }
        return false;
    }

    void serve(int connection)
    {
        const int on = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::string input;
        while (readHead(connection, input) && answer(connection, input)) { }
        ::close(connection);
    }

    bool read(int connection, std::string &input) const
    {
        char buffer[64 * 1024];
        if (!waitForInput(connection)) {
            return false;
        }
        const ssize_t size = recv(connection, buffer, sizeof buffer, 0);
        input.append(buffer, size > 0 ? static_cast<std::size_t>(size) : 0);
        return size > 0;
    }

    bool readHead(int connection, std::string &input) const
    {
        while (input.find("\r\n\r\n") == std::string::npos) {
            if (!read(connection, input)) {
                return false;
            }
        }
        return true;
    }

    /** Answers the request at the beginning of the input; false if the connection is to be closed. */
    bool answer(int connection, std::string &input)
    {
        const std::size_t headBytes = input.find("\r\n\r\n") + 4;
        const std::string head = input.substr(0, headBytes);
        input.erase(0, headBytes);
        const std::string length = fieldOf(head, "Content-Length");
        std::size_t missing = length.empty() ? 0 : std::stoul(length);
        const std::string id = fieldOf(head, "Request-Id");
        const std::string fields = " X\r\nRequest-Id: " + id + "\r\nServer-Seal: seal." + id_ + "\r\n";
        const std::string expected = fieldOf(head, "Expect-Instance");
        const bool isMeant = expected.empty() || expected == id_;
        if (!isMeant || head.compare(0, 4, "GET ") == 0) {
            const std::string end = isMeant ? "Instance-Id: " + id_ + "\r\nContent-Length: 0\r\n\r\n"
                                            : "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
            return sendBytes(connection, "HTTP/1.1 " + std::string(isMeant ? "200" : "421") + fields + end)
                && take(connection, input, missing);
        }
        const bool breaksOff = isToBreakOff();
        if (breaksOff) {
            record_.add("run " + id + " at " + id_ + ", its answer is broken off");
        }
        // The connection ends the answer, of which a part is there before the upload is.
        const std::string body = wholeBody(id);
        const auto endsAt = std::chrono::steady_clock::now() + pause();
        if (!sendBytes(connection, "HTTP/1.1 200" + fields + "\r\n" + body.substr(0, PartBytes))) {
            return false;
        }
        while (missing > 0 && std::chrono::steady_clock::now() < endsAt) {
            if (!takeSome(connection, input, missing)) {
                return false;
            }
        }
        if (breaksOff) {
            const linger reset { 1, 0 };
            setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            return false;
        }
        // A sound server reads what is left, so that its close is no reset.
        if (sendBytes(connection, body.substr(PartBytes))) {
            take(connection, input, missing);
            shutdown(connection, SHUT_WR);
            while (read(connection, input)) { }
        }
        return false;
    }

    bool takeSome(int connection, std::string &input, std::size_t &missing) const
    {
        if (input.empty() && !read(connection, input)) {
            return false;
        }
        const std::size_t taken = std::min(input.size(), missing);
        input.erase(0, taken);
        missing -= taken;
        return true;
    }

    bool take(int connection, std::string &input, std::size_t missing) const
    {
        while (missing > 0) {
            if (!takeSome(connection, input, missing)) {
                return false;
            }
        }
        return true;
    }

    bool isToBreakOff()
    {
        ++answers_;
        if (!faulty_ || ++faultyAnswers_ % BrokenOffEvery != 0) {
            return false;
        }
        ++brokenOff_;
        return true;
    }

    std::chrono::microseconds pause()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        return std::chrono::microseconds(std::uniform_int_distribution<int>(0, MaxPauseMicroseconds)(random_));
    }

    Record &record_;
    std::string id_;
    std::string zone_;
    std::mutex mutex_;
    std::minstd_rand random_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopped_ = false;
    std::atomic<bool> faulty_ = false;
    std::atomic<int> answers_ = 0;
    std::atomic<int> faultyAnswers_ = 0;
    std::atomic<int> brokenOff_ = 0;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

/** Writes the entries of the servers until it is destroyed. */
class Heartbeats
{
public:
    Heartbeats(Site &site, const std::deque<UploadServer> &servers) : site_(site), servers_(servers)
    {
        beat();
        thread_ = std::thread([this] {
            auto next = std::chrono::steady_clock::now();
            while (!stopped_) {
                std::this_thread::sleep_for(milliseconds(20));
                if (std::chrono::steady_clock::now() >= next) {
                    next += milliseconds(1200);
                    beat();
                }
            }
        });
    }

    ~Heartbeats()
    {
        stopped_ = true;
        thread_.join();
    }

    Heartbeats(const Heartbeats &) = delete;
    Heartbeats &operator=(const Heartbeats &) = delete;

private:
    void beat()
    {
        ++sequence_;
        site_.onLoop([this] {
            for (const UploadServer &server : servers_) {
                site_.store().put("servers", server.id(), server.entry(sequence_));
            }
        });
    }

    Site &site_;
    const std::deque<UploadServer> &servers_;
    int sequence_ = 0;
    std::atomic<bool> stopped_ = false;
    std::thread thread_;
};

struct Totals
{
    std::atomic<int> requests = 0;
    std::atomic<int> whole = 0;
    /** Successes that look complete and are only a part. */
    std::atomic<int> partial = 0;
    std::atomic<int> incomplete = 0;
    std::atomic<int> failures = 0;
};

void upload(Record &record, Totals &totals, const std::string &address, const std::string &id)
{
    const std::string text = "POST /import/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
        + "\r\nDeadline-Ms: 6000\r\nContent-Length: " + std::to_string(UploadBytes) + "\r\n\r\n";
    const Answer answer = exchange(address, text + std::string(UploadBytes, 'u'), std::chrono::seconds(7));
    const bool isWhole = answer.body == wholeBody(id);
    const bool isSuccess = answer.status == 200;
    ++totals.requests;
    totals.whole += isSuccess && answer.complete && isWhole ? 1 : 0;
    totals.partial += isSuccess && answer.complete && !isWhole ? 1 : 0;
    totals.incomplete += isSuccess && !answer.complete ? 1 : 0;
    totals.failures += isSuccess ? 0 : 1;
    if (!isSuccess || !answer.complete || !isWhole) {
        record.add("answer " + id + " status " + std::to_string(answer.status) + ", "
                   + std::to_string(answer.body.size()) + " of " + std::to_string(wholeBody(id).size())
                   + " bytes, Content-Length " + answer.field("content-length")
                   + (answer.complete ? ", complete" : ", not complete")
                   + (isSuccess && answer.complete ? ": a part that looks whole" : ""));
    }
}

int runCase(const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    Site site(folder);
    site.configure(Configuration);
    const char *const zones[] = { "zone-a", "zone-b", "zone-c" };
    std::deque<UploadServer> servers;
    for (int number = 1; number <= Servers; ++number) {
        servers.emplace_back(record, "u-" + std::to_string(number), zones[number % 3]);
    }
    const Heartbeats heartbeats(site, servers);
    for (int number = 0; number < Relays; ++number) {
        site.addRelay(zones[number % 3]);
    }
    if (!site.waitUntilReady(std::chrono::seconds(20))) {
        record.add("the relays are not ready");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    Totals totals;
    const auto pass = [&](milliseconds time) {
        for (milliseconds passed(0); passed < time; passed += milliseconds(1000)) {
            std::this_thread::sleep_for(milliseconds(1000));
            std::string runs;
            for (const UploadServer &server : servers) {
                runs += " " + server.id() + " " + std::to_string(server.answers());
            }
            record.add("so far " + std::to_string(totals.requests) + " uploads of " + std::to_string(UploadBytes)
                       + " bytes answered, " + std::to_string(totals.whole) + " with the whole answer; run at" + runs);
        }
    };
    const auto setFaulty = [&servers](int first, bool faulty) {
        for (int number = 0; number < FaultyServers; ++number) {
            servers[static_cast<std::size_t>((first + number) % Servers)].setFaulty(faulty);
        }
    };
    std::atomic<bool> stopped = false;
    std::vector<std::future<void>> clients;
    clients.reserve(Clients);
    for (int client = 0; client < Clients; ++client) {
        clients.push_back(std::async(std::launch::async, [&, client] {
            const Relay &relay = site.relays()[static_cast<std::size_t>(client) % site.relays().size()];
            for (int number = 0; !stopped; ++number) {
                upload(
                    record, totals, relay.callerAddress, "c" + std::to_string(client) + "-" + std::to_string(number));
                std::this_thread::sleep_for(ClientPause);
            }
        }));
    }
    for (int time = 0; time < Times; ++time) {
        pass(SoundTime);
        setFaulty(time * FaultyServers, hasTrouble());
        record.add("four of seven servers begin to break answers off" + std::string(hasTrouble() ? "" : ": left out"));
        pass(FaultyTime);
        setFaulty(time * FaultyServers, false);
        record.add("no server breaks answers off any more");
    }
    pass(SoundTime);
    stopped = true;
    for (std::future<void> &client : clients) {
        client.get();
    }
    int brokenOff = 0;
    for (const UploadServer &server : servers) {
        brokenOff += server.brokenOff();
    }
    record.add(std::to_string(totals.requests) + " uploads, " + std::to_string(brokenOff)
               + " answers broken off; clients got " + std::to_string(totals.whole) + " whole answers, "
               + std::to_string(totals.partial) + " parts that look whole, " + std::to_string(totals.incomplete)
               + " that do not look whole, " + std::to_string(totals.failures) + " failures");
    if (totals.partial > 0) {
        return 1;
    }
    const bool couldRun = hasTrouble() ? brokenOff > 0 : totals.whole == totals.requests;
    return couldRun ? 0 : 2;
}

} // namespace

} // namespace Review

int main(int argc, char **argv)
{
    return argc == 3 ? Review::runCase(argv[1], argv[2]) : 2;
}
