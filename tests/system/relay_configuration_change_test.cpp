/**
 * Changes the configuration and the settings of relay processes under load. GERANIUM_CHANGE_SEEDS sets the number of
 * seeds, GERANIUM_CHANGE_FIRST the first one.
 */
#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "tests/system/relay_process_fixture.h"

namespace GeraniumLever {
namespace {

using std::chrono::milliseconds;

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::size_t RelayCount = 4;
constexpr int Slots = 48;
constexpr int KeyLifetime = 1500;
constexpr std::size_t KeptPerRelay = 8;
/** For each kind of change. */
constexpr milliseconds LoadTime(1500);
/** The deadline that request() states. */
constexpr milliseconds Deadline(2500);
/** How long after its deadline a call may be without its end. */
constexpr milliseconds DeadlineSlack(500);
/** A request that crosses the close of its connection learns of it within this time. */
constexpr milliseconds LossSlack(200);
/** The apply_time_ms of the relays' settings. */
constexpr milliseconds ApplyTime(100);
constexpr int StreamEvents = 10;

std::uint64_t numberFrom(const char *variable, std::uint64_t fallback)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? fallback : std::stoull(text);
}

struct RouteState
{
    std::string name;
    std::string kind;
    std::string service;
    /** Set while the route is split. */
    std::optional<std::string> otherService = std::nullopt;
    milliseconds timeout { 3000 };
    /** Before the last change. */
    milliseconds timeoutBefore { 3000 };
    int attempts = 2;
    bool present = true;

    std::string text() const
    {
        const std::string target = !otherService.has_value() ? "\"service\":\"" + service + "\""
                                                             : "\"backends\":[{\"service\":\"" + service
                + "\",\"weight\":1},{\"service\":\"" + *otherService + "\",\"weight\":2}]";
        return "{\"name\":\"" + name + "\",\"host\":\"a.example\",\"path_prefix\":\"/" + name + "/\",\"kind\":\"" + kind
            + "\"," + target + ",\"timeout_ms\":" + std::to_string(timeout.count())
            + ",\"target_latency_ms\":300,\"priority\":1,\"max_attempts\":" + std::to_string(attempts)
            + (kind == "stream" ? ",\"gap_aim_ms\":200" : "") + (name == "live" ? ",\"resumable\":true" : "") + "}";
    }
};

struct LimitState
{
    int headerBytes = 4096;
    int bodyBytes = 2000000;
    milliseconds headerTimeout { 400 };
    milliseconds idleTimeout { 1000 };
};

struct Counts
{
    int calls = 0;
    int kept = 0;
    int whole = 0;
    std::map<unsigned, int> refused;
    int timedOut = 0;
    int crossed = 0;
    int closedWhileIdle = 0;
};

struct Call
{
    std::string id;
    /** Counts of the kind of change during which it was sent. */
    Counts *counts = nullptr;
    std::string expected;
    std::size_t route = 0;
    std::size_t relay = 0;
    std::shared_ptr<RawConnection> connection;
    /** True if the connection has carried a request before. */
    bool isKept = false;
    bool closesAfterwards = false;
    std::string rest;
    SteadyTime restAt;
    SteadyTime sentAt;
    /** When the last byte was sent. */
    SteadyTime completeAt;
    /** Refusals that the changes of its life explain. */
    std::set<unsigned> refusals { 502, 503 };
    /** The shortest that may have been in force while the relay read it; a later one does not apply to it. */
    milliseconds shortestTimeout { 3000 };
};

struct IdleConnection
{
    std::shared_ptr<RawConnection> connection;
    std::size_t relay = 0;
    SteadyTime nextUse;
};

class RelayConfigurationChange;

struct ChangeKind
{
    const char *name;
    void (RelayConfigurationChange::*apply)(int step);
    /** Refusals that it explains. */
    std::set<unsigned> refusals;
};

/** Every request that a relay has read ends with a whole answer or a refusal, whatever changes meanwhile. */
class RelayConfigurationChange : public RelayProcessFixture, public testing::WithParamInterface<std::uint64_t>
{
public:
    void dropRoute(int step)
    {
        for (RouteState &route : routes_) {
            route.present = step % 2 == 1 || random_.below(2) == 0;
        }
    }

    void moveRoute(int step)
    {
        for (RouteState &route : routes_) {
            const std::string service = route.kind == "stream" ? "engines" : "plain";
            route.service = step % 2 == 0 ? service + "-two" : service;
        }
    }

    void splitRoute(int step)
    {
        for (RouteState &route : routes_) {
            route.otherService = step % 2 == 0 ? std::optional(route.service + "-two") : std::nullopt;
        }
    }

    void shortenTimeout(int step)
    {
        for (RouteState &route : routes_) {
            route.timeout = milliseconds(step % 2 == 0 ? 300 + random_.below(400) : 3000);
        }
    }

    void lowerAttempts(int step)
    {
        for (RouteState &route : routes_) {
            route.attempts = step % 2 == 0 ? 1 : 3;
        }
    }

    void lowerLimits(int step)
    {
        limits_ = step % 2 == 0 ? LimitState { 600, 1000, milliseconds(150), milliseconds(300) } : LimitState();
    }

    void removeKeys(int step) { keys_ = step % 2 == 0 ? "\"key-one\"" : "\"key-one\",\"key-two\""; }

    void emptyService(int step)
    {
        for (std::size_t index = 0; index < servers_.size(); ++index) {
            const std::string &id = serverIds_[index];
            if (!isOf(index, emptied_)) {
                continue;
            }
            switch (step % 3) {
            case 0:
                registerServer(*servers_[index], id, "draining");
                break;
            case 1:
                store_.remove("servers", id);
                break;
            default:
                registerServer(*servers_[index], id);
                break;
            }
        }
        if (step % 3 == 2) {
            emptied_ = emptied_ == "plain" ? "engines" : "plain";
        }
    }

    void addRoutes(int step)
    {
        extraRoutes_.clear();
        for (int number = 0; step % 3 != 2 && number < 300 * (step % 3 + 1); ++number) {
            RouteState route { "extra-" + std::to_string(step) + "-" + std::to_string(number), "idempotent", "plain" };
            extraRoutes_ += "," + route.text();
        }
    }

    void reload(int /*step*/)
    {
        for (RelayProcess &process : processes_) {
            const std::uint64_t burst = 1 + random_.below(6);
            for (std::uint64_t signal = 0; signal < burst; ++signal) {
                retrySlack_ = static_cast<int>(random_.below(2000));
                const int keyLifetime = 1000 + static_cast<int>(random_.below(2000));
                const bool isFaulty = random_.below(5) == 0;
                writeSettings(process,
                              isFaulty ? "node: ["
                                       : settingsText(process, store_.address(), keyLifetime) + "repeat_ratio: 0."
                                      + std::to_string(random_.below(4)) + "\n");
                process.child->signal(SIGHUP);
            }
        }
    }

    void changeEverything(int /*step*/)
    {
        constexpr void (RelayConfigurationChange::*Changes[])(int) = {
            &RelayConfigurationChange::dropRoute,     &RelayConfigurationChange::moveRoute,
            &RelayConfigurationChange::splitRoute,    &RelayConfigurationChange::shortenTimeout,
            &RelayConfigurationChange::lowerAttempts, &RelayConfigurationChange::lowerLimits,
            &RelayConfigurationChange::removeKeys,    &RelayConfigurationChange::addRoutes,
            &RelayConfigurationChange::reload,
        };
        for (int count = 0; count < 3; ++count) {
            const std::size_t index = random_.below(std::size(Changes));
            (this->*Changes[index])(static_cast<int>(random_.below(2)));
        }
    }

protected:
    RelayConfigurationChange()
    {
        keys_ = "\"key-one\",\"key-two\"";
        serverIds_ = { "p1", "p2", "e1", "e2" };
        for (const char *service : { "plain", "engines", "plain-two", "engines-two" }) {
            for (int number = 1; number <= 2; ++number) {
                serverIds_.push_back(std::string(service) + "-s" + std::to_string(number));
                addServer(serverIds_.back(), service, Slots);
            }
        }
        writeChanged();
        for (std::size_t count = 0; count < RelayCount; ++count) {
            addProcess(KeyLifetime);
        }
        for (std::size_t count = 0; count < RelayCount * KeptPerRelay; ++count) {
            const std::size_t relay = count % RelayCount;
            idle_.push_back({ connectTo(processes_[relay].callerAddress), relay, std::chrono::steady_clock::now() });
        }
    }

    static std::vector<RouteState> originalRoutes()
    {
        return {
            { "read", "idempotent", "plain" },
            { "once", "non_idempotent", "plain" },
            { "live", "stream", "engines" },
            { "stream", "stream", "engines" },
        };
    }

    bool isOf(std::size_t server, const std::string &service) const
    {
        return servers_[server]->registration().find("\"service\":\"" + service + "\"") != std::string::npos;
    }

    /** Writes a new version unless nothing but settings has changed. */
    void writeChanged()
    {
        std::string routes;
        for (const RouteState &route : routes_) {
            routes += route.present ? (routes.empty() ? "" : ",") + route.text() : "";
        }
        const RouteState unused { "unused", "idempotent", "plain" };
        routes += (routes.empty() ? "" : ",") + unused.text() + extraRoutes_;
        const std::string engine = ",\"max_conns\":300,\"engine\":{\"slots\":48,\"kv_capacity\":100000}}";
        const std::string text = ",\"routes\":[" + routes
            + "],\"services\":[{\"name\":\"plain\",\"health_path\":\"/healthz\",\"max_conns\":300},"
              "{\"name\":\"plain-two\",\"health_path\":\"/healthz\",\"max_conns\":300},{\"name\":\"engines\""
            + engine + ",{\"name\":\"engines-two\"" + engine + "],\"limits\":{\"max_header_bytes\":"
            + std::to_string(limits_.headerBytes) + ",\"max_body_bytes\":" + std::to_string(limits_.bodyBytes)
            + ",\"header_timeout_ms\":" + std::to_string(limits_.headerTimeout.count())
            + ",\"idle_timeout_ms\":" + std::to_string(limits_.idleTimeout.count())
            + "},\"tenants\":[{\"name\":\"team-one\",\"api_keys\":[" + keys_ + "]}]}";
        if (text == written_) {
            return;
        }
        written_ = text;
        changedAt_ = std::chrono::steady_clock::now();
        ++version_;
        store_.put("op", "config", "{\"version\":" + std::to_string(version_) + text);
        for (Call &call : calls_) {
            if (!call.rest.empty() || changedAt_ - call.completeAt < ApplyTime) {
                call.shortestTimeout = std::min(call.shortestTimeout, routes_[call.route].timeout);
            }
        }
    }

    std::string scriptOf(bool isStream)
    {
        constexpr std::array<const char *, 2> Failures { " first reset", " first full" };
        const std::uint64_t duration = random_.below(5) < 3 ? 10 + random_.below(90) : 200 + random_.below(800);
        std::string script = isStream
            ? "events=" + std::to_string(StreamEvents) + " gap=" + std::to_string(duration / StreamEvents)
            : "gap=" + std::to_string(duration);
        if (random_.below(10) == 0) {
            script += Failures[random_.below(Failures.size())];
        }
        return script;
    }

    void startCall(std::size_t relay, const std::shared_ptr<RawConnection> &kept)
    {
        Call call;
        call.id = "c" + std::to_string(++lastCall_);
        call.route = random_.below(routes_.size());
        call.relay = relay;
        call.counts = counts_;
        call.isKept = kept != nullptr;
        ++counts_->calls;
        counts_->kept += call.isKept ? 1 : 0;
        call.connection = call.isKept ? kept : connectTo(processes_[relay].callerAddress);
        call.closesAfterwards = !call.isKept && random_.below(2) == 0;
        call.shortestTimeout = routes_[call.route].timeout;
        if (std::chrono::steady_clock::now() - changedAt_ < ApplyTime) {
            call.shortestTimeout = std::min(call.shortestTimeout, routes_[call.route].timeoutBefore);
        }
        const RouteState &route = routes_[call.route];
        const bool isStream = route.kind == "stream";
        const std::string method = route.name == "read" ? "GET" : "POST";
        const std::string path = "/" + route.name + "/" + call.id;
        const std::string body = method == "GET"
            ? ""
            : "body-" + call.id + std::string(random_.below(4) == 0 ? random_.below(6000) : 0, 'b');
        call.expected = isStream ? standInEvents(path, body, StreamEvents) : standInBody(method, path, body);
        std::string fields = "Stand-In: " + scriptOf(isStream) + "\r\n";
        if (random_.below(8) == 0) {
            fields += "Padding: " + std::string(random_.below(1000), 'p') + "\r\n";
        }
        std::string text = request(call.id, method, path, body, fields);
        if (random_.below(3) == 0) {
            text.replace(text.find("key-one"), 7, "key-two");
        }
        call.sentAt = std::chrono::steady_clock::now();
        call.completeAt = call.sentAt;
        call.connection->forget();
        if (random_.below(3) == 0) {
            const std::size_t first = 1 + random_.below(text.size() - 1);
            call.rest = text.substr(first);
            call.restAt = call.sentAt + milliseconds(10 + random_.below(300));
            text.resize(first);
        }
        call.connection->send(text);
        addRefusals(call, call.sentAt);
        calls_.push_back(std::move(call));
    }

    void addRefusals(Call &call, SteadyTime now) const
    {
        if (refusals_ != nullptr) {
            call.refusals.insert(refusals_->begin(), refusals_->end());
        }
        if (now - restoredAt_ < ApplyTime && refusalsBefore_ != nullptr) {
            call.refusals.insert(refusalsBefore_->begin(), refusalsBefore_->end());
        }
    }

    void sendRests(SteadyTime now)
    {
        for (Call &call : calls_) {
            if (!call.rest.empty() && now >= call.restAt) {
                call.connection->send(std::exchange(call.rest, ""));
                call.completeAt = now;
            }
        }
    }

    /** Connections stay idle for up to four fifths of the limit; those that the relay has closed are replaced. */
    void useKept(SteadyTime now)
    {
        std::vector<IdleConnection> due;
        std::erase_if(idle_, [&](const IdleConnection &idle) {
            if (now < idle.nextUse) {
                return false;
            }
            due.push_back(idle);
            return true;
        });
        for (const IdleConnection &idle : due) {
            counts_->closedWhileIdle += idle.connection->ended() ? 1 : 0;
            startCall(idle.relay, idle.connection->ended() ? nullptr : idle.connection);
        }
    }

    void keep(const Call &call, SteadyTime now)
    {
        const auto limit = static_cast<std::uint64_t>(limits_.idleTimeout.count()) * 4 / 5;
        idle_.push_back(
            { call.connection, call.relay, now + milliseconds(random_.below(3) == 0 ? limit : random_.below(limit)) });
    }

    void checkCalls()
    {
        const SteadyTime now = std::chrono::steady_clock::now();
        for (Call &call : calls_) {
            addRefusals(call, now);
        }
        std::erase_if(calls_, [&](const Call &call) {
            std::string bytes = call.connection->received();
            const ReceivedResponse answer = takeResponse(bytes);
            if (!answer.bodyComplete && !call.connection->ended()) {
                const bool isLate = now - call.completeAt > Deadline + DeadlineSlack && call.rest.empty();
                EXPECT_FALSE(isLate) << call.id << " has no end";
                return isLate;
            }
            if (answer.bodyComplete) {
                checkAnswer(call, answer);
            } else {
                checkCut(call, answer, now);
            }
            const bool closes = call.closesAfterwards || !call.rest.empty() || call.connection->ended()
                || answer.head.find("Connection: close") != std::string::npos
                || std::count_if(idle_.begin(),
                                 idle_.end(),
                                 [&call](const IdleConnection &idle) { return idle.relay == call.relay; })
                    >= static_cast<std::ptrdiff_t>(KeptPerRelay);
            if (closes) {
                call.connection->close();
            } else {
                keep(call, now);
            }
            return true;
        });
    }

    void checkAnswer(const Call &call, const ReceivedResponse &answer)
    {
        if (answer.status == 200) {
            EXPECT_EQ(answer.body, call.expected) << call.id;
            ++call.counts->whole;
            return;
        }
        EXPECT_GE(answer.status, 400U) << call.id;
        EXPECT_TRUE(call.refusals.contains(answer.status)) << call.id << " " << answer.status << answer.body;
        EXPECT_NE(answer.body.find("\"error\""), std::string::npos) << call.id << " " << answer.status << answer.body;
        ++call.counts->refused[answer.status];
        constexpr std::array<unsigned, 4> NotRun { 408, 421, 429, 503 };
        if (std::find(NotRun.begin(), NotRun.end(), answer.status) != NotRun.end() && !isIdempotent(call)) {
            notRun_.insert(call.id);
        }
    }

    bool isIdempotent(const Call &call) const { return routes_[call.route].name == "read"; }

    void checkCut(const Call &call, const ReceivedResponse &answer, SteadyTime now)
    {
        const bool isCrossing = call.isKept && call.connection->received().empty() && !hasArrived(call.id)
            && (!call.rest.empty() || now - call.completeAt <= LossSlack);
        if (isCrossing) {
            ++call.counts->crossed;
            crossed_.push_back(call);
            return;
        }
        // Nothing but its end can follow the beginning of a stream once its timeout is over.
        const bool isStream = routes_[call.route].kind == "stream";
        const bool isOver = now - call.completeAt >= std::min(call.shortestTimeout, Deadline);
        if (isStream && answer.status == 200 && isOver) {
            ++call.counts->timedOut;
            return;
        }
        ADD_FAILURE() << call.id << " on " << routes_[call.route].name << " at " << processes_[call.relay].node
                      << " ended without an answer or a refusal after "
                      << std::chrono::duration_cast<milliseconds>(now - call.sentAt).count() << " ms, "
                      << (call.isKept ? "kept" : "new") << " connection, " << call.rest.size() << " bytes unsent, "
                      << (hasArrived(call.id) ? "passed on" : "not passed on") << ", received "
                      << call.connection->received().size() << " bytes";
    }

    bool hasArrived(const std::string &id) const
    {
        return std::any_of(servers_.begin(), servers_.end(), [&id](const std::unique_ptr<ServerStandIn> &server) {
            return std::any_of(server->arrivals().begin(),
                               server->arrivals().end(),
                               [&id](const ServerArrival &arrival) { return arrival.requestId == id; });
        });
    }

    /** No relay has read a request that is excused, and nothing has run that was refused as not run. */
    void checkPromises()
    {
        for (const Call &call : crossed_) {
            EXPECT_FALSE(hasArrived(call.id)) << call.id;
            const std::string log = readFile(processes_[call.relay].outputPath);
            EXPECT_EQ(log.find("request=" + call.id + " "), std::string::npos) << call.id;
        }
        for (const std::string &id : notRun_) {
            const auto runs = ledger_.find(id);
            EXPECT_TRUE(runs == ledger_.end() || runs->second.empty()) << id;
        }
    }

    void startChange(const ChangeKind &change, int step)
    {
        const SteadyTime now = std::chrono::steady_clock::now();
        const std::vector<RouteState> before = routes_;
        (this->*change.apply)(step);
        for (std::size_t index = 0; index < routes_.size(); ++index) {
            routes_[index].timeoutBefore = before[index].timeout;
        }
        writeChanged();
        for (IdleConnection &idle : idle_) {
            idle.nextUse = random_.below(2) == 0 ? now + milliseconds(random_.below(200)) : idle.nextUse;
        }
    }

    void restore(int /*step*/)
    {
        routes_ = originalRoutes();
        limits_ = LimitState();
        keys_ = "\"key-one\",\"key-two\"";
        extraRoutes_.clear();
        for (std::size_t index = 0; index < servers_.size(); ++index) {
            registerServer(*servers_[index], serverIds_[index]);
        }
        for (const RelayProcess &process : processes_) {
            writeSettings(process, settingsText(process, store_.address(), KeyLifetime));
        }
    }

    void runLoad(const ChangeKind &change)
    {
        allCounts_.emplace_back();
        counts_ = &allCounts_.back();
        refusals_ = &change.refusals;
        int step = 0;
        const SteadyTime end = std::chrono::steady_clock::now() + LoadTime;
        SteadyTime nextChange = std::chrono::steady_clock::now() + milliseconds(ApplyTime);
        while (std::chrono::steady_clock::now() < end) {
            const SteadyTime now = std::chrono::steady_clock::now();
            startCall(random_.below(RelayCount), nullptr);
            useKept(now);
            if (now >= nextChange) {
                startChange(change, step++);
                nextChange = now + ApplyTime + milliseconds(random_.below(200));
            }
            const SteadyTime pauseEnd = now + milliseconds(5 + random_.below(15));
            runUntil([&]() { return std::chrono::steady_clock::now() >= pauseEnd; });
            sendRests(std::chrono::steady_clock::now());
            checkCalls();
        }
        EXPECT_GT(step, 0);
        startChange({ "Restored", &RelayConfigurationChange::restore, {} }, step);
        refusalsBefore_ = std::exchange(refusals_, nullptr);
        restoredAt_ = std::chrono::steady_clock::now();
    }

    void awaitCalls()
    {
        EXPECT_TRUE(runUntil([this]() {
            sendRests(std::chrono::steady_clock::now());
            checkCalls();
            return calls_.empty();
        }));
    }

    static void report(const ChangeKind &change, const Counts &counts)
    {
        std::cout << change.name << ": " << counts.calls << " calls, " << counts.kept << " on kept connections, "
                  << counts.whole << " whole";
        for (const auto &[status, count] : counts.refused) {
            std::cout << ", " << count << " with " << status;
        }
        std::cout << ", " << counts.timedOut << " streams at their timeout, " << counts.crossed << " crossed a close, "
                  << counts.closedWhileIdle << " connections closed while idle\n";
    }

    RandomSource random_ { GetParam() };
    std::vector<RouteState> routes_ = originalRoutes();
    LimitState limits_;
    std::vector<std::string> serverIds_;
    std::string emptied_ = "plain";
    std::string written_;
    SteadyTime changedAt_;
    const std::set<unsigned> *refusals_ = nullptr;
    const std::set<unsigned> *refusalsBefore_ = nullptr;
    SteadyTime restoredAt_;
    std::vector<Call> calls_;
    std::vector<Call> crossed_;
    std::vector<IdleConnection> idle_;
    std::set<std::string> notRun_;
    std::deque<Counts> allCounts_;
    Counts *counts_ = nullptr;
    int lastCall_ = 0;
};

const ChangeKind allChanges[] = {
    { "RouteDropped", &RelayConfigurationChange::dropRoute, { 404 } },
    { "RouteMoved", &RelayConfigurationChange::moveRoute, {} },
    { "RouteSplit", &RelayConfigurationChange::splitRoute, {} },
    { "TimeoutShortened", &RelayConfigurationChange::shortenTimeout, { 504 } },
    { "AttemptsLowered", &RelayConfigurationChange::lowerAttempts, {} },
    { "LimitsLowered", &RelayConfigurationChange::lowerLimits, { 408, 413, 431 } },
    { "KeysRemoved", &RelayConfigurationChange::removeKeys, { 401 } },
    { "ServiceEmptied", &RelayConfigurationChange::emptyService, {} },
    { "RoutesAdded", &RelayConfigurationChange::addRoutes, {} },
    { "SettingsReloaded", &RelayConfigurationChange::reload, {} },
    { "EverythingChanged", &RelayConfigurationChange::changeEverything, { 401, 404, 408, 413, 431, 504 } },
};

TEST_P(RelayConfigurationChange, LeavesNoRequestWithoutAnAnswerOrARefusal)
{
    for (const ChangeKind &change : allChanges) {
        runLoad(change);
    }
    awaitCalls();
    checkPromises();
    for (std::size_t index = 0; index < std::size(allChanges); ++index) {
        report(allChanges[index], allCounts_[index]);
        EXPECT_GT(allCounts_[index].whole, 0) << allChanges[index].name;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RelayConfigurationChange,
                         testing::Range<std::uint64_t>(numberFrom("GERANIUM_CHANGE_FIRST", 1),
                                                       numberFrom("GERANIUM_CHANGE_FIRST", 1)
                                                           + numberFrom("GERANIUM_CHANGE_SEEDS", 1)));

} // namespace
} // namespace GeraniumLever
