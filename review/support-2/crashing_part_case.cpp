/** A prompt part crashes each server that begins to write an answer on it. Either the answers have neither a length nor
 * chunks, or the requests with the part come in batches, or they come one after the other and are repeated. */
#include <cstdio>

#include "review/support-2/http_exchange.h"
#include "review/support-2/site.h"

namespace Review {

namespace {

using Clock = std::chrono::steady_clock;

constexpr milliseconds RunTime(45000);
constexpr milliseconds RequestGap(100);
/** One request in this many has the part that crashes servers, if they come one after the other. */
constexpr int CrashingPeriod = 5;
/** Otherwise so many of them come together, so often. */
constexpr int BatchSize = 18;
constexpr milliseconds BatchGap(6000);
/** If they are repeated, a new one comes so often. */
constexpr milliseconds RepeatedGap(4000);
/** Tries of a client whose requests may be repeated. */
constexpr int Tries = 2;
constexpr milliseconds Deadline(10000);
/** Number of different second parts of the prompts. */
constexpr int SecondParts = 12;
constexpr int Events = 4;
constexpr milliseconds EventGap(60);
constexpr milliseconds DownTime(3000);
constexpr milliseconds ContactTime(3000);
/** From ContactTime after this crash, the rule allows so many requests with the part. */
constexpr std::size_t CrashesUntilKnown = 5;
constexpr int AllowedRequests = 3;
constexpr const char *CrashingPart = "dead01";

constexpr const char *Configuration =
    R"({"version":5,"routes":[{"name":"letter","host":"a.example","path_prefix":"/letter/","kind":"stream",)"
    R"("service":"engines","timeout_ms":10000,"target_latency_ms":1500,"priority":2,"max_attempts":1,)"
    R"("gap_aim_ms":800,"sticky":true},)"
    R"({"name":"chat","host":"a.example","path_prefix":"/chat/","kind":"stream",)"
    R"("service":"engines","timeout_ms":10000,"target_latency_ms":300,"priority":0,"max_attempts":2,)"
    R"("resumable":true,"gap_aim_ms":200,"sticky":true}],)"
    R"("services":[{"name":"engines","health_path":"/healthz","max_conns":310,)"
    R"("engine":{"slots":48,"kv_capacity":444000}}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":4000,"idle_timeout_ms":8000}})";

/** What differs between the cases. */
struct Variant
{
    /** Answers have chunks. */
    bool chunked = false;
    /** Requests with the part come in batches. */
    bool batches = false;
    /** They come one after the other, on a route whose streams may be resumed. */
    bool repeats = false;
};

/** What the servers have seen of the part; used on the site's event loop only. */
struct CrashLog
{
    std::vector<Clock::time_point> crashes;
    int requestsAfterwards = 0;
};

/** True for an arrival that the rule counts. */
bool isCounted(const CrashLog &log)
{
    return log.crashes.size() >= CrashesUntilKnown && Clock::now() > log.crashes[CrashesUntilKnown - 1] + ContactTime;
}

/** Streams; a server that has written the first event on the part ends as a process does. */
class StreamWork
{
public:
    StreamWork(Record &record, CrashLog &log, bool chunked) : record_(record), log_(log), chunked_(chunked) { }

    void operator()(Server &server, const Server::Session &session, const Server::Request &request) const
    {
        if (request.method_string() == "GET") {
            session->send(server.head(200, request, "Content-Length: 0\r\n\r\n"));
            session->finish();
            return;
        }
        const std::string id(request["Request-Id"]);
        const bool crashes = hasTrouble() && request["Prompt-Prefix"].find(CrashingPart) != std::string::npos;
        const bool counts = crashes && isCounted(log_);
        log_.requestsAfterwards += counts ? 1 : 0;
        record_.add("run " + id + " at " + server.settings().id + (crashes ? ", which has the crashing part" : "")
                    + (counts ? ", counted" : ""));
        session->send(
            server.head(200,
                        request,
                        std::string("Content-Type: text/event-stream\r\n")
                            + (chunked_ ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n")));
        server.sessions().push_back(session);
        const std::string last(request["Last-Event-Id"]);
        const int first = last.empty() ? 1 : std::stoi(last) + 1;
        sendNext(server,
                 session,
                 std::make_shared<boost::asio::steady_timer>(server.context()),
                 first,
                 crashes ? first + 1 : Events + 1);
    }

private:
    void sendNext(Server &server,
                  const Server::Session &session,
                  const std::shared_ptr<boost::asio::steady_timer> &timer,
                  int event,
                  int crashingEvent) const
    {
        timer->expires_after(EventGap);
        timer->async_wait([this, &server, session, timer, event, crashingEvent](const boost::system::error_code &) {
            if (session->ended()) {
                return;
            }
            if (event == crashingEvent) {
                crash(server);
                return;
            }
            sendPiece(session, "id: " + std::to_string(event) + "\ndata: text\n\n");
            if (event == Events) {
                end(session);
                return;
            }
            sendNext(server, session, timer, event + 1, crashingEvent);
        });
    }

    void sendPiece(const Server::Session &session, const std::string &text) const
    {
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", text.size());
        session->send(chunked_ ? size + text + "\r\n" : text);
    }

    void end(const Server::Session &session) const
    {
        if (!chunked_) {
            session->closeAfterSending();
            return;
        }
        session->send("0\r\n\r\n");
        session->finish();
    }

    void crash(Server &server) const
    {
        log_.crashes.push_back(Clock::now());
        record_.add("crash " + std::to_string(log_.crashes.size()) + " of " + server.settings().id);
        server.exit();
        const auto timer = std::make_shared<boost::asio::steady_timer>(server.context(), DownTime);
        timer->async_wait([this, &server, timer](const boost::system::error_code &cancelled) {
            if (!cancelled) {
                server.start();
                record_.add("server " + server.settings().id + " is back");
            }
        });
    }

    Record &record_;
    CrashLog &log_;
    bool chunked_;
};

/** Number of whole events in a body. */
int countEvents(const std::string &body)
{
    int count = 0;
    for (std::size_t end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", end + 2)) {
        ++count;
    }
    return count;
}

/** One client; true if its stream is whole in the end. A stream that may be resumed is taken up once after a failure.
 */
bool receiveStream(Site &site, Record &record, const Variant &variant, int number, bool crashing)
{
    const Clock::time_point until = Clock::now() + Deadline;
    const std::string name = (crashing ? "crashing" : "sound") + std::to_string(number);
    const std::string first = crashing ? CrashingPart : "a1";
    int events = 0;
    std::string firstAttempt;
    for (int attempt = 0; attempt < (variant.repeats ? Tries : 1); ++attempt) {
        const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
        const std::string id = name + "." + std::to_string(attempt);
        const Relay &relay = site.relays()[static_cast<std::size_t>(number + attempt) % site.relays().size()];
        std::string request = std::string("POST ") + (variant.repeats ? "/chat/1" : "/letter/1")
            + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
            + "\r\nModel: m\r\nToken-Counts: 300,4\r\nPrompt-Prefix: " + first + ":100,b"
            + std::to_string(number % SecondParts) + ":100,c" + std::to_string(number) + ":100\r\nDeadline-Ms: "
            + std::to_string(left.count()) + "\r\nContent-Length: " + std::to_string(name.size()) + "\r\n";
        if (events > 0) {
            request += "Last-Event-Id: " + std::to_string(events) + "\r\nResumes: " + firstAttempt + "\r\n";
        }
        const Answer answer = exchange(relay.callerAddress, request + "\r\n" + name, left);
        firstAttempt = events == 0 ? id : firstAttempt;
        events += answer.status == 200 ? countEvents(answer.body) : 0;
        record.add("answer " + id + " status " + std::to_string(answer.status) + ", "
                   + (answer.complete ? "complete" : "broken off") + ", " + std::to_string(events) + " events");
        if (answer.status == 200 && answer.complete) {
            break;
        }
    }
    return events == Events;
}

int runCase(const Variant &variant, const std::string &folder, const std::string &recordPath)
{
    Record record(recordPath);
    CrashLog log;
    Site site(folder);
    site.configure(Configuration);
    const StreamWork work(record, log, variant.chunked);
    for (const char *zone : { "a", "b", "c" }) {
        const std::string name(zone);
        site.addServer({ "i-1" + name, "engines", "zone-" + name, "1.0" }, work);
        site.addServer({ "i-2" + name, "engines", "zone-" + name, "1.0" }, work);
        site.addServer({ "i-3" + name, "engines", "zone-" + name, "1.0" }, work);
    }
    for (const char *zone : { "zone-a", "zone-b", "zone-c" }) {
        site.addRelay(zone);
    }
    if (!site.waitUntilReady(std::chrono::seconds(20))) {
        record.add("the relays are not ready");
        return 2;
    }
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const Clock::time_point end = Clock::now() + RunTime;
    const milliseconds groupGap = variant.batches ? BatchGap : RepeatedGap;
    const int groupSize = variant.batches ? BatchSize : 1;
    Clock::time_point nextGroup = Clock::now() + milliseconds(1000);
    std::vector<std::future<bool>> clients;
    int number = 0;
    const auto start = [&](bool crashing) {
        ++number;
        clients.push_back(std::async(std::launch::async, [&site, &record, &variant, number, crashing] {
            return receiveStream(site, record, variant, number, crashing);
        }));
    };
    while (Clock::now() < end) {
        const bool inGroups = variant.batches || variant.repeats;
        start(!inGroups && number % CrashingPeriod == 0);
        if (inGroups && Clock::now() >= nextGroup) {
            nextGroup += groupGap;
            for (int count = 0; count < groupSize; ++count) {
                start(true);
            }
        }
        std::this_thread::sleep_for(RequestGap);
    }
    std::size_t answered = 0;
    for (std::future<bool> &client : clients) {
        answered += client.get() ? 1 : 0;
    }
    std::size_t crashes = 0;
    int counted = 0;
    site.onLoop([&] {
        crashes = log.crashes.size();
        counted = log.requestsAfterwards;
    });
    record.add(std::to_string(clients.size()) + " requests, " + std::to_string(answered) + " answered whole; "
               + std::to_string(crashes) + " crashes; " + std::to_string(counted)
               + " requests with the part reached servers later than 3 s after the fifth crash; the rule allows "
               + std::to_string(AllowedRequests));
    if (!hasTrouble() && answered != clients.size()) {
        return 2;
    }
    return counted > AllowedRequests ? 1 : 0;
}

} // namespace

} // namespace Review

int main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    const std::string name = argv[1];
    const Review::Variant variant { name != "unframed", name == "batches", name == "repeats" };
    return Review::runCase(variant, argv[2], argv[3]);
}
