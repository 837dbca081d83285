/** A server starts again under its id with newer software while clients take up the streams that it had begun. */
#include <cstdio>
#include <set>

#include "review/support-2/http_exchange.h"
#include "review/support-2/site.h"

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int Streams = 45;
constexpr int Events = 40;
constexpr milliseconds EventGap(100);
constexpr milliseconds StreamDeadline(10000);
/** How long a client waits before it comes back, unless it is told another time. */
constexpr milliseconds ClientBackoff(500);
constexpr int MaxReturns = 5;
constexpr milliseconds DownTime(700);
/** The rule allows this many streams with events of two versions. */
constexpr int AllowedMixedStreams = 2;

constexpr const char *Configuration =
    R"({"version":5,"routes":[{"name":"chat","host":"a.example","path_prefix":"/chat/","kind":"stream",)"
    R"("service":"engines","timeout_ms":10000,"target_latency_ms":300,"priority":0,"max_attempts":2,)"
    R"("resumable":true,"gap_aim_ms":200,"sticky":true}],)"
    R"("services":[{"name":"engines","health_path":"/healthz","max_conns":310,)"
    R"("engine":{"slots":48,"kv_capacity":444000}}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":4000,"idle_timeout_ms":8000}})";

/** Streams as the model servers write them; each event names the version of the software that wrote it. */
class StreamWork
{
public:
    explicit StreamWork(Record &record) : record_(record) { }

    void operator()(Server &server, const Server::Session &session, const Server::Request &request) const
    {
        if (request.method_string() == "GET") {
            session->send(server.head(200, request, "Content-Length: 0\r\n\r\n"));
            session->finish();
            return;
        }
        const std::string last(request["Last-Event-Id"]);
        record_.add("run " + std::string(request["Request-Id"]) + " at " + server.settings().id + " version "
                    + server.settings().version + " after event " + (last.empty() ? "0" : last));
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

    Record &record_;
};

/** What one client has of its stream, over all its tries. */
struct ReceivedStream
{
    int lastEvent = 0;
    /** The client attempt that brought the first event. */
    std::string firstAttempt;
    std::set<std::string> versions;
    bool complete = false;
};

/** Takes the whole events of an answer. */
void takeEvents(const Answer &answer, const std::string &attempt, ReceivedStream &stream)
{
    std::size_t begin = 0;
    for (std::size_t end = answer.body.find("\n\n"); end != std::string::npos; end = answer.body.find("\n\n", begin)) {
        const std::string event = answer.body.substr(begin, end - begin);
        begin = end + 2;
        stream.lastEvent = std::stoi(event.substr(4));
        stream.versions.insert(event.substr(event.rfind(' ') + 1));
        if (stream.firstAttempt.empty()) {
            stream.firstAttempt = attempt;
        }
    }
    stream.complete = answer.complete && stream.lastEvent == Events;
}

/** One client: its stream, and its returns after a broken connection or a refusal, within the deadline. */
ReceivedStream receiveStream(Site &site, Record &record, int number)
{
    const Clock::time_point until = Clock::now() + StreamDeadline;
    ReceivedStream stream;
    for (int returns = 0; returns <= MaxReturns && !stream.complete; ++returns) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
        if (left <= milliseconds(0)) {
            break;
        }
        const std::string attempt = "s" + std::to_string(number) + "." + std::to_string(returns);
        const Relay &relay = site.relays()[static_cast<std::size_t>(number + returns) % site.relays().size()];
        std::string request = "POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + attempt
            + "\r\nModel: m\r\nToken-Counts: 200," + std::to_string(Events)
            + "\r\nPrompt-Prefix: " + std::to_string(1000 + number % 8) + ":100," + std::to_string(9000 + number)
            + ":100\r\nDeadline-Ms: " + std::to_string(left.count()) + "\r\nContent-Length: 2\r\n";
        if (stream.lastEvent > 0) {
            request +=
                "Last-Event-Id: " + std::to_string(stream.lastEvent) + "\r\nResumes: " + stream.firstAttempt + "\r\n";
        }
        record.add("send " + attempt + " to " + relay.node + " after event " + std::to_string(stream.lastEvent));
        const Answer answer = exchange(relay.callerAddress, request + "\r\nhi", left);
        takeEvents(answer, attempt, stream);
        record.add("answer " + attempt + " status " + std::to_string(answer.status) + " up to event "
                   + std::to_string(stream.lastEvent) + (stream.complete ? " complete" : ""));
        if (stream.complete) {
            break;
        }
        const std::string retryAfter = answer.field("Retry-After");
        const milliseconds told(retryAfter.empty() ? 0 : static_cast<int>(std::stod(retryAfter) * 1000));
        std::this_thread::sleep_for(std::max(ClientBackoff, told));
    }
    return stream;
}

int runCase(const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    Site site(folder);
    site.configure(Configuration);
    const StreamWork work(record);
    Server &old = site.addServer({ "i-a", "engines", "zone-a", "1.0" }, work);
    site.addServer({ "i-b", "engines", "zone-b", "2.0" }, work);
    site.addServer({ "i-c", "engines", "zone-c", "2.0" }, work);
    for (const char *zone : { "zone-a", "zone-b", "zone-c" }) {
        site.addRelay(zone);
    }
    if (!site.waitUntilReady(std::chrono::seconds(20))) {
        record.add("the relays are not ready");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(5));

    std::vector<std::future<ReceivedStream>> clients;
    for (int number = 0; number < Streams; ++number) {
        clients.push_back(
            std::async(std::launch::async, [&site, &record, number] { return receiveStream(site, record, number); }));
        std::this_thread::sleep_for(milliseconds(20));
    }
    std::this_thread::sleep_for(milliseconds(600));
    if (hasTrouble()) {
        record.add("server i-a ends");
        site.onLoop([&old] { old.kill(); });
        std::this_thread::sleep_for(DownTime);
        site.onLoop([&old] {
            old.settings().version = "2.0";
            old.start();
        });
        record.add("server i-a has started again under its id with version 2.0, and the store has its entry");
    }
    int mixed = 0;
    int complete = 0;
    for (int number = 0; number < Streams; ++number) {
        const ReceivedStream stream = clients[static_cast<std::size_t>(number)].get();
        complete += stream.complete ? 1 : 0;
        if (stream.versions.size() > 1) {
            ++mixed;
            record.add("stream s" + std::to_string(number) + " holds events of versions 1.0 and 2.0");
        }
    }
    record.add(std::to_string(Streams) + " streams, " + std::to_string(complete) + " complete, " + std::to_string(mixed)
               + " with events of two versions; the rule allows " + std::to_string(AllowedMixedStreams));
    if (!hasTrouble() && complete != Streams) {
        return 2;
    }
    return mixed > AllowedMixedStreams ? 1 : 0;
}

} // namespace

} // namespace Review

int main(int argc, char **argv)
{
    return argc == 3 ? Review::runCase(argv[1], argv[2]) : 2;
}
