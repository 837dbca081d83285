/** All relays are killed at the same moment while streams of two software versions run; clients take the streams up
 * once the relays are back. */
#include <csignal>
#include <cstdio>

#include <sys/wait.h>

#include "review/support-2/http_exchange.h"
#include "review/support-2/site.h"

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int Relays = 9;
constexpr milliseconds StreamGap(16);
constexpr milliseconds TrafficTime(3000);
constexpr int Events = 20;
constexpr milliseconds EventGap(20);
constexpr milliseconds StartDelay(500);
/** The relays are in touch again so long after their start. */
constexpr milliseconds ContactTime(3000);
constexpr milliseconds Deadline(10000);
/** The rule needs so many streams that are taken up. */
constexpr int MinTakenUp = 12;

constexpr const char *Configuration =
    R"({"version":5,"routes":[{"name":"chat","host":"a.example","path_prefix":"/chat/","kind":"stream",)"
    R"("service":"engines","timeout_ms":10000,"target_latency_ms":300,"priority":0,"max_attempts":2,)"
    R"("resumable":true,"gap_aim_ms":200,"sticky":true}],)"
    R"("services":[{"name":"engines","health_path":"/healthz","max_conns":310,)"
    R"("engine":{"slots":48,"kv_capacity":444000}}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":4000,"idle_timeout_ms":8000}})";

/** Streams as the model servers write them. */
class StreamWork
{
public:
    void operator()(Server &server, const Server::Session &session, const Server::Request &request) const
    {
        if (request.method_string() == "GET") {
            session->send(server.head(200, request, "Content-Length: 0\r\n\r\n"));
            session->finish();
            return;
        }
        const std::string last(request["Last-Event-Id"]);
        session->send(
            server.head(200, request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        sendNext(server,
                 session,
                 std::make_shared<boost::asio::steady_timer>(server.context()),
                 last.empty() ? 1 : std::stoi(last) + 1);
    }

private:
    static void sendNext(Server &server,
                         const Server::Session &session,
                         const std::shared_ptr<boost::asio::steady_timer> &timer,
                         int event)
    {
        timer->expires_after(EventGap);
        timer->async_wait([&server, session, timer, event](const boost::system::error_code &cancelled) {
            if (cancelled || session->ended()) {
                return;
            }
            const std::string text =
                "id: " + std::to_string(event) + "\ndata: written by version " + server.settings().version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            session->send(size + text + "\r\n");
            if (event == Events) {
                session->send("0\r\n\r\n");
                session->finish();
                return;
            }
            sendNext(server, session, timer, event + 1);
        });
    }
};

/** How the stream of one client went. */
struct StreamResult
{
    bool isTakenUp = false;
    bool goesOn = false;
    bool isWhole = false;
};

int countEvents(const std::string &body)
{
    int count = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", end + 2)) {
        ++count;
    }
    return count;
}

/** One client. Takes its stream up after a broken answer, not before resumeAt, and once more after a refusal. */
StreamResult receiveStream(Site &site,
                           Record &record,
                           int number,
                           const std::shared_future<Clock::time_point> &resumeAt)
{
    const Clock::time_point until = Clock::now() + Deadline;
    StreamResult result;
    int events = 0;
    for (int attempt = 0; attempt < 3; ++attempt) {
        if (attempt == 1) {
            std::this_thread::sleep_until(resumeAt.get());
        }
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
        if (left <= milliseconds(0)) {
            break;
        }
        const std::string id = "s" + std::to_string(number) + "." + std::to_string(attempt);
        const Relay &relay = site.relays()[static_cast<std::size_t>(number + attempt) % site.relays().size()];
        std::string request = "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
            + "\r\nModel: m\r\nToken-Counts: 200,20\r\nPrompt-Prefix: " + std::to_string(1000 + number % 8) + ":100,"
            + std::to_string(90000 + number) + ":100\r\nDeadline-Ms: " + std::to_string(left.count())
            + "\r\nContent-Length: 2\r\n";
        if (events > 0) {
            request +=
                "Last-Event-Id: " + std::to_string(events) + "\r\nResumes: s" + std::to_string(number) + ".0\r\n";
            result.isTakenUp = true;
        }
        const Answer answer = exchange(relay.callerAddress, request + "\r\nhi", left);
        const int received = answer.status == 200 ? countEvents(answer.body) : 0;
        result.goesOn = result.isTakenUp && received > 0;
        events += received;
        record.add("answer " + id + " status " + std::to_string(answer.status) + ", " + std::to_string(events)
                   + " events" + (answer.complete ? ", complete" : ""));
        if (events == Events || (events == 0 && attempt == 0)) {
            break;
        }
        const std::string retryAfter = answer.field("Retry-After");
        if (!retryAfter.empty()) {
            std::this_thread::sleep_for(milliseconds(static_cast<int>(std::stod(retryAfter) * 1000)));
        }
    }
    result.isWhole = events == Events;
    return result;
}

int runCase(const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    Site site(folder);
    site.configure(Configuration);
    const char *const zones[] = { "zone-a", "zone-b", "zone-c" };
    for (const char *zone : zones) {
        site.addServer({ std::string("i-1-") + zone, "engines", zone, "1.0" }, StreamWork());
        site.addServer({ std::string("i-2-") + zone, "engines", zone, "2.0" }, StreamWork());
    }
    for (int number = 0; number < Relays; ++number) {
        site.addRelay(zones[number % 3]);
    }
    if (!site.waitUntilReady(std::chrono::seconds(20))) {
        record.add("the relays are not ready");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(5));
    std::promise<Clock::time_point> resumeAt;
    const std::shared_future<Clock::time_point> whenToResume = resumeAt.get_future().share();
    std::vector<std::future<StreamResult>> clients;
    const Clock::time_point end = Clock::now() + TrafficTime;
    for (int number = 0; Clock::now() < end; ++number) {
        clients.push_back(std::async(std::launch::async, [&site, &record, number, whenToResume] {
            return receiveStream(site, record, number, whenToResume);
        }));
        std::this_thread::sleep_for(StreamGap);
    }
    if (hasTrouble()) {
        record.add("all relays are killed");
        for (const Relay &relay : site.relays()) {
            kill(relay.process, SIGKILL);
        }
        for (Relay &relay : site.relays()) {
            waitpid(relay.process, nullptr, 0);
        }
        std::this_thread::sleep_for(StartDelay);
        for (Relay &relay : site.relays()) {
            site.startAgain(relay);
        }
        if (!site.waitUntilReady(std::chrono::seconds(10))) {
            record.add("the relays are not ready again");
            return 2;
        }
    }
    record.add("the relays are ready");
    resumeAt.set_value(Clock::now() + ContactTime);
    int takenUp = 0;
    int goOn = 0;
    int whole = 0;
    for (std::future<StreamResult> &client : clients) {
        const StreamResult result = client.get();
        takenUp += result.isTakenUp ? 1 : 0;
        goOn += result.goesOn ? 1 : 0;
        whole += result.isWhole ? 1 : 0;
    }
    record.add(std::to_string(clients.size()) + " streams, " + std::to_string(whole) + " whole in the end; "
               + std::to_string(takenUp) + " taken up, " + std::to_string(goOn) + " of them go on");
    if (!hasTrouble()) {
        return whole == static_cast<int>(clients.size()) ? 0 : 2;
    }
    return takenUp >= MinTakenUp && goOn * 2 < takenUp ? 1 : 0;
}

} // namespace

} // namespace Review

int main(int argc, char **argv)
{
    return argc == 3 ? Review::runCase(argv[1], argv[2]) : 2;
}
