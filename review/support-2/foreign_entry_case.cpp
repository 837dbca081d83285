/** Another writer's entry in the registry, with fields missing or of another type, names a server of another service.
 */
#include <atomic>

#include "review/support-2/http_exchange.h"
#include "review/support-2/site.h"

namespace Review {

namespace {

constexpr int Requests = 300;
constexpr milliseconds RequestGap(20);
constexpr milliseconds WorkTime(60);
constexpr milliseconds WriterPeriod(300);

constexpr const char *Configuration =
    R"({"version":5,"routes":[{"name":"debit","host":"a.example","path_prefix":"/debit/","kind":"non_idempotent",)"
    R"("service":"dues-app","timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":1},)"
    R"({"name":"mail","host":"a.example","path_prefix":"/mail/","kind":"non_idempotent",)"
    R"("service":"mail-app","timeout_ms":1500,"target_latency_ms":300,"priority":2,"max_attempts":1}],)"
    R"("services":[{"name":"dues-app","health_path":"/healthz","max_conns":110},)"
    R"({"name":"mail-app","health_path":"/healthz","max_conns":110}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":4000,"idle_timeout_ms":8000}})";

/** Runs every request and counts those that are of another service's route. */
class PlainWork
{
public:
    PlainWork(Record &record, std::atomic<int> &misrouted) : record_(record), misrouted_(misrouted) { }

    void operator()(Server &server, const Server::Session &session, const Server::Request &request) const
    {
        const std::string target(request.target());
        const std::string service = target.starts_with("/debit/") ? "dues-app" : "mail-app";
        if (target != "/healthz") {
            record_.add("run " + std::string(request["Request-Id"]) + " " + target + " at " + server.settings().id
                        + " of service " + server.settings().service);
            misrouted_ += service == server.settings().service ? 0 : 1;
        }
        const std::string body = "done by " + server.settings().id;
        const std::string answer =
            server.head(200, request, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") + body;
        const auto timer = std::make_shared<boost::asio::steady_timer>(server.context(), WorkTime);
        timer->async_wait([timer, session, answer](const boost::system::error_code &) {
            session->send(answer);
            session->finish();
        });
    }

private:
    Record &record_;
    std::atomic<int> &misrouted_;
};

/** The entry of the other writer: version is a number, seq a text; cold_left_ms and born are missing. */
std::string foreignEntry(const Server &server)
{
    return R"({"service":"dues-app","address":")" + server.address()
        + R"(","zone":"zone-a","version":7,"slots":6,"state":"ready","seq":"one"})";
}

/** True if the request is answered with success. */
bool sendDebit(Site &site, Record &record, int number)
{
    const std::string id = "d" + std::to_string(number);
    const Relay &relay = site.relays()[static_cast<std::size_t>(number) % site.relays().size()];
    record.add("send " + id + " to " + relay.node);
    const Answer answer = exchange(relay.callerAddress,
                                   "POST /debit/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                                       + "\r\nDeadline-Ms: 3000\r\nContent-Length: 2\r\n\r\nhi",
                                   milliseconds(3000));
    record.add("answer " + id + " status " + std::to_string(answer.status) + " " + answer.body);
    return answer.status == 200;
}

int runCase(const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    std::atomic<int> misrouted = 0;
    Site site(folder);
    site.configure(Configuration);
    const PlainWork work(record, misrouted);
    for (const char *zone : { "a", "b", "c" }) {
        const std::string name(zone);
        site.addServer({ "i-dues-" + name, "dues-app", "zone-" + name, "1.0", 6 }, work);
        site.addServer({ "i-mail-" + name, "mail-app", "zone-" + name, "1.0", 6 }, work);
    }
    Server &other = site.addServer({ "i-mail-d", "mail-app", "zone-a", "1.0", 6 }, work);
    for (const char *zone : { "zone-a", "zone-b", "zone-c" }) {
        site.addRelay(zone);
    }
    if (!site.waitUntilReady(std::chrono::seconds(20))) {
        record.add("the relays are not ready");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    std::vector<std::future<bool>> clients;
    for (int number = 0; number < Requests; ++number) {
        if (hasTrouble() && number % (WriterPeriod / RequestGap) == 0) {
            record.add("another writer's entry for i-mail-d: " + foreignEntry(other));
            site.onLoop([&] { site.store().put("servers", "i-mail-d", foreignEntry(other)); });
        }
        clients.push_back(std::async(std::launch::async, [&, number] { return sendDebit(site, record, number); }));
        std::this_thread::sleep_for(RequestGap);
    }
    int answered = 0;
    for (std::future<bool> &client : clients) {
        answered += client.get() ? 1 : 0;
    }
    record.add(std::to_string(Requests) + " requests for dues-app, " + std::to_string(answered) + " answered 200, "
               + std::to_string(misrouted) + " run by a server of mail-app; the rule allows none");
    if (!hasTrouble() && answered != Requests) {
        return 2;
    }
    return misrouted > 0 ? 1 : 0;
}

} // namespace

} // namespace Review

int main(int argc, char **argv)
{
    return argc == 3 ? Review::runCase(argv[1], argv[2]) : 2;
}
