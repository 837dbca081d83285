/** The servers of a service are replaced one after the other. An earlier heartbeat of each, whose answer was lost, is
 * carried out by the store seconds after the server has reported that it leaves. */
#include <algorithm>
#include <atomic>
#include <map>

#include "review/support-2/http_exchange.h"
#include "review/support-2/site.h"

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int Relays = 9;
constexpr milliseconds RequestGap(90);
constexpr milliseconds WorkTime(60);
/** The draining server serves for so long after the store has accepted its report. */
constexpr milliseconds LingerTime(8000);
constexpr milliseconds DrainTime(2000);
/** From the sending of the heartbeat to its being carried out. */
constexpr milliseconds LateTime(4800);
/** That heartbeat precedes the server's report by so much. */
constexpr milliseconds HeartbeatLead(1100);
/** A replacement serves for so long before the server that it replaces leaves. */
constexpr milliseconds ReplacementLead(1500);

constexpr const char *Configuration =
    R"({"version":5,"routes":[{"name":"read","host":"a.example","path_prefix":"/read/","kind":"idempotent",)"
    R"("service":"dues-app","timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":2}],)"
    R"("services":[{"name":"dues-app","health_path":"/healthz","max_conns":110}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":4000,"idle_timeout_ms":8000}})";

/** The servers that leave; used on the site's event loop only. */
struct Leaving
{
    /** When the store has accepted the report of each. */
    std::map<std::string, Clock::time_point> acknowledgedAt;
    int lateRequests = 0;
};

/** Runs every request; a server that leaves says so in each answer. */
class LeavingWork
{
public:
    LeavingWork(Record &record, Leaving &leaving) : record_(record), leaving_(leaving) { }

    void operator()(Server &server, const Server::Session &session, const Server::Request &request) const
    {
        const auto acknowledged = leaving_.acknowledgedAt.find(server.settings().id);
        const bool isLeaving = acknowledged != leaving_.acknowledgedAt.end();
        const bool isLate = isLeaving && Clock::now() > acknowledged->second + DrainTime;
        leaving_.lateRequests += isLate ? 1 : 0;
        record_.add("run " + std::string(request["Request-Id"]) + " at " + server.settings().id
                    + (isLeaving ? ", which is draining" : "") + (isLate ? ", too late" : ""));
        const std::string answer = server.head(
            200, request, std::string(isLeaving ? "Server-Leaving: 1\r\n" : "") + "Content-Length: 4\r\n\r\ndone");
        const auto timer = std::make_shared<boost::asio::steady_timer>(server.context(), WorkTime);
        timer->async_wait([timer, session, answer](const boost::system::error_code &) {
            session->send(answer);
            session->finish();
        });
    }

private:
    Record &record_;
    Leaving &leaving_;
};

/** Requests of clients at all relays until they are ended. */
class Traffic
{
public:
    Traffic(Site &site, Record &record) : thread_([this, &site, &record] { send(site, record); }) { }

    /** Returns the number of requests, and of those that were answered 200. */
    std::pair<std::size_t, std::size_t> end()
    {
        ended_ = true;
        thread_.join();
        const auto answered =
            std::count_if(clients_.begin(), clients_.end(), [](std::future<bool> &client) { return client.get(); });
        return { clients_.size(), static_cast<std::size_t>(answered) };
    }

private:
    void send(Site &site, Record &record)
    {
        for (int number = 0; !ended_; ++number) {
            clients_.push_back(std::async(std::launch::async, [&site, &record, number] {
                const std::string id = "r" + std::to_string(number);
                const Relay &relay = site.relays()[static_cast<std::size_t>(number) % site.relays().size()];
                record.add("send " + id + " to " + relay.node);
                const Answer answer = exchange(relay.callerAddress,
                                               "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                                                   + "\r\nDeadline-Ms: 3000\r\n\r\n",
                                               milliseconds(3000));
                record.add("answer " + id + " status " + std::to_string(answer.status));
                return answer.status == 200;
            }));
            std::this_thread::sleep_for(RequestGap);
        }
    }

    std::atomic<bool> ended_ = false;
    std::vector<std::future<bool>> clients_;
    std::thread thread_;
};

/** The server sends a heartbeat that the store carries out LateTime later and never answers. */
void scheduleLateHeartbeat(Site &site, Record &record, Server &server)
{
    const std::string heartbeat = server.loseHeartbeat();
    record.add("the store gives no answer to the heartbeat " + heartbeat);
    const auto timer = std::make_shared<boost::asio::steady_timer>(site.context(), LateTime);
    timer->async_wait([&site, &record, id = server.settings().id, heartbeat, timer](const boost::system::error_code &) {
        site.store().put("servers", id, heartbeat);
        record.add("the store carries out the late heartbeat " + heartbeat);
    });
}

int runCase(const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    Leaving leaving;
    Site site(folder);
    site.configure(Configuration);
    const LeavingWork work(record, leaving);
    const char *const zones[] = { "zone-a", "zone-b", "zone-c" };
    std::vector<Server *> servers;
    for (const char *zone : zones) {
        servers.push_back(&site.addServer({ std::string("i-1-") + zone, "dues-app", zone, "1.0", 6 }, work));
    }
    for (int number = 0; number < Relays; ++number) {
        site.addRelay(zones[number % 3]);
    }
    if (!site.waitUntilReady(std::chrono::seconds(20))) {
        record.add("the relays are not ready");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(4));
    Traffic traffic(site, record);
    for (Server *server : servers) {
        const std::string zone = server->settings().zone;
        site.addServer({ "i-2-" + zone, "dues-app", zone, "1.0", 6 }, work);
        std::this_thread::sleep_for(ReplacementLead);
        if (hasTrouble()) {
            site.onLoop([&] { scheduleLateHeartbeat(site, record, *server); });
        }
        std::this_thread::sleep_for(HeartbeatLead);
        site.onLoop([&] {
            server->drain();
            leaving.acknowledgedAt[server->settings().id] = Clock::now();
            record.add("the store has accepted " + server->entry());
        });
    }
    std::this_thread::sleep_for(LingerTime);
    const auto [requests, answered] = traffic.end();
    int late = 0;
    site.onLoop([&] { late = leaving.lateRequests; });
    record.add(std::to_string(requests) + " requests, " + std::to_string(answered) + " answered 200, "
               + std::to_string(late)
               + " reached a draining server later than 2 s after the acknowledgement; the rule allows none");
    if (!hasTrouble() && answered != requests) {
        return 2;
    }
    return late > 0 ? 1 : 0;
}

} // namespace

} // namespace Review

int main(int argc, char **argv)
{
    return argc == 3 ? Review::runCase(argv[1], argv[2]) : 2;
}
