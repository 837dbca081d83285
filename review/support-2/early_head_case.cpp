/** Servers send the head of a stream at once. One of them turns slow, so that its first events come after the route's
 * timeout. */
#include <atomic>

#include "review/support-2/http_exchange.h"
#include "review/support-2/site.h"

namespace Review {

namespace {

constexpr int Requests = 100;
constexpr milliseconds RequestGap(40);
constexpr int Servers = 7;
constexpr milliseconds RouteTimeout(1500);
/** Time after the route's timeout within which a request must have its final answer. */
constexpr milliseconds AnswerTime(500);
/** Time to the first event; the slow server works four times as long. */
constexpr milliseconds FirstEvent(600);
constexpr int SlowFactor = 4;
/** The rule needs so many requests without a final answer, and more than a quarter of those that last so long. */
constexpr int MinUnanswered = 8;
constexpr int MaxUnansweredPart = 4;

constexpr const char *Configuration =
    R"({"version":5,"routes":[{"name":"match","host":"a.example","path_prefix":"/match/","kind":"stream",)"
    R"("service":"engines","timeout_ms":1500,"target_latency_ms":400,"priority":1,"max_attempts":1,)"
    R"("gap_aim_ms":300,"sticky":true}],)"
    R"("services":[{"name":"engines","health_path":"/healthz","max_conns":310,)"
    R"("engine":{"slots":48,"kv_capacity":444000}}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":4000,"idle_timeout_ms":8000}})";

/** Streams of one event. */
class EarlyHeadWork
{
public:
    /** slow: identifier of the slow server, or empty; used on the site's event loop only. */
    EarlyHeadWork(Record &record, const std::string &slow) : record_(record), slow_(slow) { }

    void operator()(Server &server, const Server::Session &session, const Server::Request &request) const
    {
        if (request.method_string() == "GET") {
            session->send(server.head(200, request, "Content-Length: 0\r\n\r\n"));
            session->finish();
            return;
        }
        const bool isSlow = server.settings().id == slow_;
        record_.add("run " + std::string(request["Request-Id"]) + " at " + server.settings().id
                    + (isSlow ? ", which is slow" : ""));
        session->send(
            server.head(200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        const auto timer = std::make_shared<boost::asio::steady_timer>(server.context());
        timer->expires_after(isSlow ? FirstEvent * SlowFactor : FirstEvent);
        timer->async_wait([session, timer](const boost::system::error_code &) {
            if (!session->ended()) {
                session->send("13\r\nid: 1\ndata: match\n\n\r\n0\r\n\r\n");
                session->finish();
            }
        });
    }

private:
    Record &record_;
    const std::string &slow_;
};

std::string requestText(const std::string &id, int number)
{
    return "POST /match/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
        + "\r\nModel: m\r\nToken-Counts: 300,1\r\nPrompt-Prefix: a1:100,b" + std::to_string(number % 20) + ":100,c"
        + std::to_string(number) + ":100\r\nDeadline-Ms: 2500\r\nContent-Length: 2\r\n\r\nhi";
}

int runCase(const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    std::string slow;
    Site site(folder);
    site.configure(Configuration);
    const EarlyHeadWork work(record, slow);
    const char *const zones[] = { "zone-a", "zone-b", "zone-c" };
    for (int number = 1; number <= Servers; ++number) {
        site.addServer({ "i-" + std::to_string(number), "engines", zones[number % 3], "1.0" }, work);
    }
    for (const char *zone : zones) {
        site.addRelay(zone);
    }
    if (!site.waitUntilReady(std::chrono::seconds(20))) {
        record.add("the relays are not ready");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    if (hasTrouble()) {
        record.add("server i-4 turns slow");
        site.onLoop([&slow] { slow = "i-4"; });
    }
    std::atomic<int> answered = 0;
    std::atomic<int> late = 0;
    std::atomic<int> unanswered = 0;
    std::vector<std::future<void>> clients;
    for (int number = 0; number < Requests; ++number) {
        clients.push_back(std::async(std::launch::async, [&, number] {
            const std::string id = "m" + std::to_string(number);
            const Relay &relay = site.relays()[static_cast<std::size_t>(number) % site.relays().size()];
            const auto sentAt = std::chrono::steady_clock::now();
            const Answer answer = exchange(relay.callerAddress, requestText(id, number), RouteTimeout + AnswerTime);
            const auto time = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - sentAt);
            const bool isFinal = answer.status != 0 && answer.complete;
            record.add("answer " + id + (isFinal ? " status " + std::to_string(answer.status) : std::string(" none"))
                       + " after " + std::to_string(time.count()) + " ms, "
                       + std::to_string(answer.head.size() + answer.body.size()) + " bytes"
                       + (answer.isClosed ? ", connection closed" : ""));
            answered += isFinal ? 1 : 0;
            late += time >= RouteTimeout ? 1 : 0;
            unanswered += isFinal || time < RouteTimeout ? 0 : 1;
        }));
        std::this_thread::sleep_for(RequestGap);
    }
    for (std::future<void> &client : clients) {
        client.get();
    }
    record.add(std::to_string(Requests) + " requests, " + std::to_string(answered) + " with a final answer; "
               + std::to_string(late) + " lasted longer than the route's timeout, " + std::to_string(unanswered)
               + " of them without a final answer half a second later");
    if (!hasTrouble() && answered != Requests) {
        return 2;
    }
    return unanswered >= MinUnanswered && unanswered * MaxUnansweredPart > late ? 1 : 0;
}

} // namespace

} // namespace Review

int main(int argc, char **argv)
{
    return argc == 3 ? Review::runCase(argv[1], argv[2]) : 2;
}
