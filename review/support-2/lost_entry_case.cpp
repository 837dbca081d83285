/** Relays are stopped and started in turn while the store carries some writes out late. Afterwards a server limits its
 * requests. */
#include <array>
#include <atomic>
#include <csignal>
#include <deque>

#include <sys/wait.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "review/support-2/http_exchange.h"
#include "review/support-2/site.h"

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;
using Tcp = boost::asio::ip::tcp;

constexpr int Relays = 3;
constexpr int LateWrites = 2;
/** Between two stops of relays. */
constexpr milliseconds StopGap(1300);
/** From the end of a process to its start. */
constexpr milliseconds StartDelay(300);
/** From the sending of a late write to its being carried out. */
constexpr milliseconds LateTime(5000);
/** From the last late write to the limit. */
constexpr milliseconds CalmTime(20000);
constexpr milliseconds LimitedTime(14000);
constexpr int Clients = 30;
constexpr milliseconds ClientGap(40);
constexpr milliseconds WorkTime(20);
/** Requests a second that the servers name in Server-Limit. */
constexpr int Limit = 10;
constexpr milliseconds ContactTime(3000);
constexpr milliseconds WindowTime(4000);
/** One and a half times what the limit allows in the window, + 5. */
constexpr int AllowedRequests = Limit * 6 + 5;

constexpr const char *Configuration =
    R"({"version":5,"routes":[{"name":"read","host":"a.example","path_prefix":"/read/","kind":"idempotent",)"
    R"("service":"dues-app","timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":2}],)"
    R"("services":[{"name":"dues-app","health_path":"/healthz","max_conns":110},)"
    R"({"name":"mail-app","health_path":"/healthz","max_conns":110}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":4000,"idle_timeout_ms":8000}})";

/** A proxy before the store. While it holds writes back, those by which a relay removes its own row are carried out
 * late and not answered; everything else passes. Lives on the site's event loop. */
class StoreGate
{
public:
    StoreGate(Site &site, Record &record)
        : site_(site)
        , record_(record)
        , acceptor_(site.context(), Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }

    void holdBack(int removals) { removals_ = removals; }

private:
    struct Link
    {
        explicit Link(Tcp::socket accepted) : client(std::move(accepted)), store(client.get_executor()) { }

        Tcp::socket client;
        Tcp::socket store;
        std::array<char, 16 * 1024> fromClient {};
        std::array<char, 16 * 1024> fromStore {};
    };
    using LinkPtr = std::shared_ptr<Link>;

    void accept()
    {
        acceptor_.async_accept([this](const boost::system::error_code &error, Tcp::socket socket) {
            if (error) {
                return;
            }
            const LinkPtr link = std::make_shared<Link>(std::move(socket));
            boost::system::error_code failed;
            const std::string target = site_.store().address();
            link->store.connect({ boost::asio::ip::make_address("127.0.0.1"),
                                  static_cast<std::uint16_t>(std::stoi(target.substr(target.rfind(':') + 1))) },
                                failed);
            if (!failed) {
                readClient(link);
                readStore(link);
            }
            accept();
        });
    }

    void readClient(const LinkPtr &link)
    {
        link->client.async_read_some(boost::asio::buffer(link->fromClient),
                                     [this, link](const boost::system::error_code &error, std::size_t bytes) {
                                         if (error) {
                                             close(link);
                                             return;
                                         }
                                         const std::string text(link->fromClient.data(), bytes);
                                         if (removals_ > 0 && isRemoval(text)) {
                                             --removals_;
                                             carryOutLate(text);
                                             return;
                                         }
                                         boost::system::error_code ignored;
                                         boost::asio::write(link->store, boost::asio::buffer(text), ignored);
                                         readClient(link);
                                     });
    }

    void readStore(const LinkPtr &link)
    {
        link->store.async_read_some(boost::asio::buffer(link->fromStore),
                                    [this, link](const boost::system::error_code &error, std::size_t bytes) {
                                        if (error) {
                                            close(link);
                                            return;
                                        }
                                        boost::system::error_code ignored;
                                        boost::asio::write(
                                            link->client, boost::asio::buffer(link->fromStore, bytes), ignored);
                                        readStore(link);
                                    });
    }

    static void close(const LinkPtr &link)
    {
        boost::system::error_code ignored;
        link->client.close(ignored);
        link->store.close(ignored);
    }

    static bool isRemoval(const std::string &text)
    {
        return text.starts_with("POST /rows-tx") && text.find(R"("remove":[{"table":"relays")") != std::string::npos;
    }

    void carryOutLate(const std::string &text)
    {
        const std::size_t begin = text.rfind(R"("key":")") + 7;
        const std::string key = text.substr(begin, text.find('"', begin) - begin);
        record_.add("the store gives no answer to the removal of the row of " + key);
        const auto timer = std::make_shared<boost::asio::steady_timer>(site_.context(), LateTime);
        timer->async_wait([this, key, timer](const boost::system::error_code &cancelled) {
            if (!cancelled) {
                site_.store().remove("relays", key);
                record_.add("the store carries out the late removal of the row of " + key);
            }
        });
    }

    Site &site_;
    Record &record_;
    Tcp::acceptor acceptor_;
    int removals_ = 0;
};

/** What the server has seen; used on the site's event loop only. */
struct Arrivals
{
    bool isLimited = false;
    Clock::time_point limitedAt;
    std::deque<Clock::time_point> inWindow;
    std::size_t most = 0;
};

/** Runs every request, and names the limit while it holds. */
class LimitedWork
{
public:
    explicit LimitedWork(Arrivals &arrivals) : arrivals_(arrivals) { }

    void operator()(Server &server, const Server::Session &session, const Server::Request &request) const
    {
        const Clock::time_point now = Clock::now();
        if (arrivals_.isLimited && now > arrivals_.limitedAt + ContactTime) {
            arrivals_.inWindow.push_back(now);
            while (now - arrivals_.inWindow.front() > WindowTime) {
                arrivals_.inWindow.pop_front();
            }
            arrivals_.most = std::max(arrivals_.most, arrivals_.inWindow.size());
        }
        const std::string limit =
            arrivals_.isLimited ? "Server-Limit: " + std::to_string(Limit) + "\r\n" : std::string();
        const std::string answer = server.head(200, request, limit + "Content-Length: 4\r\n\r\ndone");
        const auto timer = std::make_shared<boost::asio::steady_timer>(server.context(), WorkTime);
        timer->async_wait([timer, session, answer](const boost::system::error_code &) {
            session->send(answer);
            session->finish();
        });
    }

private:
    Arrivals &arrivals_;
};

/** Stops and starts the relays in turn, as the platform does. */
void restartRelays(Site &site, Record &record)
{
    std::vector<Clock::time_point> startAt(site.relays().size(), Clock::time_point::max());
    std::size_t stopped = 0;
    std::size_t started = 0;
    Clock::time_point nextStop = Clock::now();
    while (started < site.relays().size()) {
        const Clock::time_point now = Clock::now();
        if (stopped < site.relays().size() && now >= nextStop) {
            record.add("SIGTERM to " + site.relays()[stopped].node);
            kill(site.relays()[stopped++].process, SIGTERM);
            nextStop = now + StopGap;
        }
        for (std::size_t index = 0; index < stopped; ++index) {
            Relay &relay = site.relays()[index];
            if (startAt[index] == Clock::time_point::max() && waitpid(relay.process, nullptr, WNOHANG) > 0) {
                record.add(relay.node + " has ended");
                startAt[index] = now + StartDelay;
            }
            if (relay.process != 0 && startAt[index] <= now && startAt[index] != Clock::time_point::min()) {
                site.startAgain(relay);
                startAt[index] = Clock::time_point::min();
                ++started;
                record.add(relay.node + " has been started");
            }
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
}

/** Requests of several clients to all relays, for a time; returns how many were answered 200. */
int sendRequests(Site &site, milliseconds duration)
{
    const Clock::time_point end = Clock::now() + duration;
    std::atomic<int> answered = 0;
    std::vector<std::thread> clients;
    clients.reserve(Clients);
    for (int client = 0; client < Clients; ++client) {
        clients.emplace_back([&, client] {
            for (int number = 0; Clock::now() < end; ++number) {
                const std::size_t relay = static_cast<std::size_t>(client + number) % site.relays().size();
                const std::string id = "r" + std::to_string(client) + "." + std::to_string(number);
                const Answer answer = exchange(site.relays()[relay].callerAddress,
                                               "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                                                   + "\r\nDeadline-Ms: 1500\r\n\r\n",
                                               milliseconds(1500));
                answered += answer.status == 200 ? 1 : 0;
                std::this_thread::sleep_for(ClientGap);
            }
        });
    }
    for (std::thread &client : clients) {
        client.join();
    }
    return answered;
}

int runCase(const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    Arrivals arrivals;
    Site site(folder);
    site.configure(Configuration);
    site.addServer({ "i-a", "dues-app", "zone-a", "1.0", 48 }, LimitedWork(arrivals));
    // They only register, so that the late writes are a small part of all writes.
    for (const char *name : { "i-b", "i-c", "i-d", "i-e" }) {
        site.addServer({ name, "mail-app", "zone-b", "1.0", 6 }, LimitedWork(arrivals));
    }
    std::unique_ptr<StoreGate> gate;
    site.onLoop([&] { gate = std::make_unique<StoreGate>(site, record); });
    const char *const zones[] = { "zone-a", "zone-b", "zone-c" };
    for (int number = 0; number < Relays; ++number) {
        site.addRelay(zones[number % 3], gate->address());
    }
    if (!site.waitUntilReady(std::chrono::seconds(20))) {
        record.add("the relays are not ready");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    site.onLoop([&] { gate->holdBack(hasTrouble() ? LateWrites : 0); });
    restartRelays(site, record);
    std::this_thread::sleep_for(LateTime);
    if (!site.waitUntilReady(std::chrono::seconds(5))) {
        record.add("the relays are not ready again");
        return 2;
    }
    std::this_thread::sleep_for(CalmTime);
    record.add("the server names Server-Limit: " + std::to_string(Limit));
    site.onLoop([&] {
        arrivals.isLimited = true;
        arrivals.limitedAt = Clock::now();
    });
    const int answered = sendRequests(site, LimitedTime);
    std::size_t most = 0;
    site.onLoop([&] {
        most = arrivals.most;
        gate.reset();
    });
    record.add(std::to_string(answered) + " requests answered 200; the server got " + std::to_string(most)
               + " requests in some 4 s, from 3 s after it had first named its limit of 10 a second; the rule allows "
               + std::to_string(AllowedRequests));
    return most > static_cast<std::size_t>(AllowedRequests) ? 1 : 0;
}

} // namespace

} // namespace Review

int main(int argc, char **argv)
{
    return argc == 3 ? Review::runCase(argv[1], argv[2]) : 2;
}
