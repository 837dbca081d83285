#include "development/platform_standins/server_stand_in.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

namespace GeraniumLever {

namespace {

/** The words of the field "Stand-In". */
struct Script
{
    std::uint64_t events = 0;
    std::uint64_t gap = 0;
    std::uint64_t pieces = 1;
    std::optional<std::uint64_t> cut;
    std::optional<std::uint64_t> shortAfter;
    std::optional<std::uint64_t> stopAfter;
    std::optional<std::uint64_t> trickleAfter;
    bool unframed = false;
    bool resets = false;
    bool leaving = false;
    std::string pause;
    std::string fault;
};

std::uint64_t numberOf(const std::string &word)
{
    return std::stoull(word.substr(word.find('=') + 1));
}

Script parseScript(const std::string &text, bool firstRun)
{
    Script script;
    std::istringstream words(text);
    std::string word;
    bool applies = true;
    while (words >> word) {
        if (word.starts_with("events=")) {
            script.events = numberOf(word);
        } else if (word.starts_with("gap=")) {
            script.gap = numberOf(word);
        } else if (word.starts_with("pieces=") && applies) {
            script.pieces = std::max<std::uint64_t>(numberOf(word), 1);
        } else if (word == "first") {
            applies = firstRun;
        } else if (word.starts_with("cut=") && applies) {
            script.cut = numberOf(word);
        } else if (word.starts_with("short=") && applies) {
            script.shortAfter = numberOf(word);
        } else if (word.starts_with("stop=") && applies) {
            script.stopAfter = numberOf(word);
        } else if (word.starts_with("trickle=") && applies) {
            script.trickleAfter = numberOf(word);
        } else if (word.starts_with("pause=") && applies) {
            script.pause = word.substr(word.find('=') + 1);
            script.fault = "full";
        } else if (word == "unframed" && applies) {
            script.unframed = true;
        } else if (word == "hard" && applies) {
            script.resets = true;
        } else if (word == "leaving" && applies) {
            script.leaving = true;
        } else if (applies) {
            script.fault = word;
        }
    }
    return script;
}

std::string chunkOf(const std::string &bytes)
{
    std::ostringstream text;
    text << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return text.str();
}

std::string hashOf(const std::string &text)
{
    return std::to_string(XXH64(text.data(), text.size(), 0));
}

} // namespace

struct ServerStandIn::Job
{
    Job(boost::asio::io_context &context) : timer(context) { }

    std::shared_ptr<RawSession> session;
    std::string requestId;
    std::string method;
    std::string target;
    std::string body;
    Script script;
    std::uint64_t nextEvent = 1;
    std::uint64_t nextPiece = 1;
    bool over = false;
    boost::asio::steady_timer timer;

    void sendPiece(const std::string &bytes) { session->send(script.unframed ? bytes : chunkOf(bytes)); }

    void breakOff()
    {
        if (script.resets) {
            session->reset();
            return;
        }
        session->closeAfterSending();
    }

    void endBody()
    {
        if (script.unframed) {
            session->closeAfterSending();
            return;
        }
        session->send("0\r\n\r\n");
        session->finish();
    }
};

std::string standInBody(const std::string &method, const std::string &target, const std::string &body)
{
    return method + " " + target + " " + hashOf(body) + " " + std::string(body.size() % 200, 'x') + "\n";
}

std::string standInEvent(const std::string &target, const std::string &body, std::uint64_t index)
{
    const std::string number = std::to_string(index);
    return "id: " + number + "\ndata: " + hashOf(target + body + number) + "\n\n";
}

std::string standInEvents(const std::string &target, const std::string &body, std::uint64_t count)
{
    std::string events;
    for (std::uint64_t index = 1; index <= count; ++index) {
        events += standInEvent(target, body, index);
    }
    return events;
}

ServerStandIn::ServerStandIn(ServerSettings settings, boost::asio::io_context &context, RunLedger &ledger)
    : settings_(std::move(settings))
    , context_(context)
    , ledger_(ledger)
    , server_(context,
              settings_.listenAddress,
              [this](const std::shared_ptr<RawSession> &session, const RawSession::Request &request) {
                  handle(session, request);
              })
{
}

std::string ServerStandIn::registration(const std::string &state) const
{
    return boost::json::serialize(
        boost::json::object { { "service", settings_.service },
                              { "address", advertisedAddress_.empty() ? address() : advertisedAddress_ },
                              { "zone", settings_.zone },
                              { "version", settings_.version },
                              { "slots", settings_.slots },
                              { "state", state },
                              { "cold_left_ms", 0 },
                              { "born", incarnation_ },
                              { "seq", 1 } });
}

std::string ServerStandIn::head(unsigned status,
                                const std::string &requestId,
                                const std::string &fields,
                                bool leaving) const
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: " + requestId + "\r\nInstance-Id: " + settings_.id
        + "\r\nServer-Load: " + std::to_string(running_) + ",0," + std::to_string(settings_.slots) + "\r\n"
        + (leaving || leaving_ ? "Server-Leaving: 1\r\n" : "")
        + (limit_.empty() ? "" : "Server-Limit: " + limit_ + "\r\n") + fields;
}

void ServerStandIn::handle(const std::shared_ptr<RawSession> &session, const RawSession::Request &request)
{
    if (crashed_) {
        session->reset();
        return;
    }
    if (std::chrono::steady_clock::now() < silentUntil_) {
        const std::shared_ptr<Job> job = std::make_shared<Job>(context_);
        session->whenPeerCloses([job]() {
            job->over = true;
            job->timer.cancel();
        });
        schedule(job, std::chrono::milliseconds(0), [this, session, request]() { handle(session, request); });
        return;
    }
    const std::string requestId(request["Request-Id"]);
    arrivals_.push_back({ requestId, std::chrono::steady_clock::now(), incarnation_, "" });
    const std::string expected(request["Expect-Instance"]);
    if (!expected.empty() && expected != settings_.id) {
        session->send(head(421, requestId, "Content-Length: 0\r\n\r\n"));
        session->finish();
        return;
    }
    const bool firstRun = ledger_[requestId].empty();
    const Script script = parseScript(std::string(request["Stand-In"]), firstRun);
    if (script.fault == "full" || requestId.empty() || !pause_.empty()) {
        turnAway(session, requestId, pause_.empty() ? script.pause : pause_, script.leaving);
        return;
    }
    run(session, request);
}

void ServerStandIn::turnAway(const std::shared_ptr<RawSession> &session,
                             const std::string &requestId,
                             const std::string &pause,
                             bool leaving)
{
    arrivals_.back().pause = pause;
    const std::string retryAfter = pause.empty() ? "" : "Retry-After: " + pause + "\r\n";
    session->send(head(503, requestId, "Not-Executed: 1\r\n" + retryAfter + "Content-Length: 0\r\n\r\n", leaving));
    session->finish();
}

void ServerStandIn::run(const std::shared_ptr<RawSession> &session, const RawSession::Request &request)
{
    const std::shared_ptr<Job> job = std::make_shared<Job>(context_);
    job->session = session;
    job->requestId = std::string(request["Request-Id"]);
    job->method = std::string(request.method_string());
    job->target = std::string(request.target());
    job->body = request.body();
    std::vector<ServerRun> &runs = ledger_[job->requestId];
    job->script = parseScript(std::string(request["Stand-In"]), runs.empty());
    ServerRun run { settings_.id,
                    job->method,
                    job->target,
                    job->body,
                    std::string(request["Tenant"]),
                    std::string(request["Deadline-Ms"]),
                    "",
                    0,
                    settings_.version };
    for (const char *name : { "Authorization", "Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "Kv-Fetch" }) {
        run.unexpected += std::string(request[name]);
    }
    if (request.count("Last-Event-Id") != 0) {
        run.lastEventId = std::stoull(std::string(request["Last-Event-Id"]));
    }
    job->nextEvent = run.lastEventId + 1;
    runs.push_back(run);
    ++running_;
    session->whenPeerCloses([this, job]() {
        job->over = true;
        job->timer.cancel();
        --running_;
    });
    if (job->script.fault == "mute") {
        return;
    }
    if (job->script.fault == "reset" || job->script.fault == "junk") {
        session->send(job->script.fault == "junk" ? std::string("no answer at all\r\n\r\n") : std::string());
        job->script.fault == "junk" ? session->closeAfterSending() : session->reset();
        return;
    }
    if (job->script.fault == "endless") {
        session->send(head(200, job->requestId, "Transfer-Encoding: chunked\r\n\r\n"));
        sendEndlessly(job);
        return;
    }
    const bool crashes = job->script.fault == "crash";
    if (job->script.events > 0 && (job->script.fault.empty() || crashes)) {
        session->send(head(200,
                           job->requestId,
                           "Server-Seal: " + settings_.id + "\r\nContent-Type: text/event-stream\r\n"
                               + (job->script.unframed ? "" : "Transfer-Encoding: chunked\r\n") + "\r\n",
                           job->script.leaving));
        if (crashes) {
            crashSoon(job);
            return;
        }
        sendNextEvent(job);
        return;
    }
    if (crashes) {
        crashSoon(job);
        return;
    }
    schedule(job, std::chrono::milliseconds(job->script.gap), [this, job]() { answerWhole(job); });
}

void ServerStandIn::schedule(const std::shared_ptr<Job> &job,
                             std::chrono::milliseconds delay,
                             std::function<void()> step)
{
    job->timer.expires_after(delay);
    job->timer.async_wait([this, job, step = std::move(step)](const boost::system::error_code &error) {
        if (error || job->over) {
            return;
        }
        const auto silence =
            std::chrono::ceil<std::chrono::milliseconds>(silentUntil_ - std::chrono::steady_clock::now());
        if (silence > std::chrono::milliseconds(0)) {
            schedule(job, silence, step);
            return;
        }
        step();
    });
}

void ServerStandIn::sendNextEvent(const std::shared_ptr<Job> &job)
{
    schedule(job, std::chrono::milliseconds(job->script.gap), [this, job]() {
        const Script &script = job->script;
        const auto reached = [&job](const std::optional<std::uint64_t> &count) {
            return count.has_value() && job->nextEvent > *count;
        };
        if (job->nextEvent > script.events) {
            release(job);
            job->endBody();
            return;
        }
        const std::string event = standInEvent(job->target, job->body, job->nextEvent);
        if (reached(script.cut) || reached(script.shortAfter)) {
            job->sendPiece(event.substr(0, event.size() / 2));
        }
        if (reached(script.shortAfter)) {
            release(job);
            job->endBody();
            return;
        }
        if (reached(script.cut) || reached(script.stopAfter)) {
            job->breakOff();
            return;
        }
        if (reached(script.trickleAfter)) {
            trickle(job);
            return;
        }
        job->sendPiece(event);
        ++job->nextEvent;
        sendNextEvent(job);
    });
}

void ServerStandIn::trickle(const std::shared_ptr<Job> &job)
{
    job->sendPiece("x");
    job->timer.expires_after(std::chrono::milliseconds(30));
    job->timer.async_wait([this, job](const boost::system::error_code &error) {
        if (!error && !job->over) {
            trickle(job);
        }
    });
}

void ServerStandIn::sendEndlessly(const std::shared_ptr<Job> &job)
{
    constexpr std::size_t PieceBytes = 8 * 1024;
    job->sendPiece(std::string(PieceBytes, 'x'));
    job->timer.expires_after(std::chrono::milliseconds(1));
    job->timer.async_wait([this, job](const boost::system::error_code &error) {
        if (!error && !job->over) {
            sendEndlessly(job);
        }
    });
}

void ServerStandIn::crashSoon(const std::shared_ptr<Job> &job)
{
    job->timer.expires_after(std::chrono::milliseconds(job->script.gap));
    job->timer.async_wait([this, job](const boost::system::error_code &error) {
        if (!error && !job->over) {
            crashed_ = true;
            server_.resetAll();
        }
    });
}

void ServerStandIn::release(const std::shared_ptr<Job> &job)
{
    --running_;
    job->over = true;
    job->session->whenPeerCloses(nullptr);
}

void ServerStandIn::sendNextPiece(const std::shared_ptr<Job> &job, const std::string &rest)
{
    if (rest.empty()) {
        release(job);
        job->script.unframed ? job->session->closeAfterSending() : job->session->finish();
        return;
    }
    if (job->script.cut.has_value() && job->nextPiece > *job->script.cut) {
        job->breakOff();
        return;
    }
    const std::size_t piecesLeft = std::max(job->script.pieces, job->nextPiece) - job->nextPiece + 1;
    const std::size_t size = (rest.size() + piecesLeft - 1) / piecesLeft;
    ++job->nextPiece;
    schedule(job, std::chrono::milliseconds(job->script.gap), [this, job, rest, size]() {
        job->session->send(rest.substr(0, size));
        sendNextPiece(job, rest.substr(size));
    });
}

void ServerStandIn::answerWhole(const std::shared_ptr<Job> &job)
{
    const Script &script = job->script;
    const bool failed = script.fault == "fail";
    const std::string body = failed ? "failed\n" : standInBody(job->method, job->target, job->body);
    const std::string requestId = script.fault == "foreign" ? "another" : job->requestId;
    const std::string length = script.unframed ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    const std::string answerHead =
        head(failed ? 500 : 200, requestId, "Server-Seal: " + settings_.id + "\r\n" + length + "\r\n", script.leaving);
    if (script.pieces > 1) {
        job->session->send(answerHead);
        sendNextPiece(job, body);
        return;
    }
    const std::string answer = answerHead + body;
    release(job);
    if (script.cut.has_value()) {
        job->session->send(answer.substr(0, answer.size() - body.size() / 2));
        job->breakOff();
        return;
    }
    job->session->send(script.fault == "extra" ? answer + answer : answer);
    if (script.unframed) {
        job->session->closeAfterSending();
        return;
    }
    job->session->finish();
    if (script.fault == "late") {
        job->timer.expires_after(std::chrono::milliseconds(40));
        job->timer.async_wait([job, answer](const boost::system::error_code &error) {
            if (!error) {
                job->session->send(answer);
            }
        });
    }
}

} // namespace GeraniumLever
