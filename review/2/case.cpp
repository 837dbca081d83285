/** Eight of nine relays are lost at once; their clients take their streams up at the ninth. */
#include <algorithm>
#include <exception>
#include <iostream>

#include "review/support/deployment.h"

namespace {

using namespace GeraniumLever;
using std::chrono::milliseconds;

constexpr int StreamsPerRelay = 6;
constexpr int EventsPerStream = 120;
/** Events of a stream that a client has before its connection breaks. */
constexpr std::size_t EventsBefore = 5;
constexpr int NewStreams = 40;
/** RULES: LOST counts 12 or more streams that are taken up. */
constexpr int MinTakenUp = 12;
/** RULES: their share is broken under half of the share of new streams that begin. */
constexpr double MinShare = 0.5;
/** The page's contact_ms: the machine that the clients come back to is left alone for so long before. */
constexpr milliseconds ContactTime(3000);
/** The client's own retries, as the sheet of the sites states them. */
constexpr int Retries = 1;

struct Stream
{
    std::string id;
    std::string path;
    std::string relay;
    std::shared_ptr<Client> client;
    std::string events;
    std::size_t eventCount = 0;
};

std::string script()
{
    return "Stand-In: events=" + std::to_string(EventsPerStream) + " gap=40\r\n";
}

/** The complete events of a body. */
std::string wholeEvents(const std::string &body)
{
    const std::size_t end = body.rfind("\n\n");
    return end == std::string::npos ? std::string() : body.substr(0, end + 2);
}

std::size_t countEvents(const std::string &events)
{
    // An event of the stand-in has three line ends.
    return static_cast<std::size_t>(std::count(events.begin(), events.end(), '\n')) / 3;
}

/** True once it is known whether the stream begins, or goes on. */
bool isDecided(const Client &client)
{
    const ClientResponse response = client.response();
    return client.ended() || response.complete || (response.status == 200 && !wholeEvents(response.body).empty());
}

bool begins(const Client &client, const std::string &path, std::size_t after)
{
    const ClientResponse response = client.response();
    const std::string expected = standInEvents(path, "prompt", EventsPerStream);
    const std::string before = standInEvents(path, "prompt", after);
    const std::string events = wholeEvents(response.body);
    return response.status == 200 && !events.empty() && expected.substr(before.size()).starts_with(events);
}

class TakeUps
{
public:
    explicit TakeUps(const std::string &recordPath) : deployment_(recordPath) { }

    int run()
    {
        start();
        if (!deployment_.awaitReady()) {
            return finish(deployment_, Verdict::CannotRun, "a relay did not become ready");
        }
        deployment_.runFor(ContactTime + milliseconds(500));
        beginStreams();
        const bool allBegan = deployment_.runUntil(
            [this]() {
                return std::all_of(streams_.begin(), streams_.end(), [](const Stream &stream) {
                    return countEvents(wholeEvents(stream.client->response().body)) >= EventsBefore;
                });
            },
            milliseconds(4000));
        if (!allBegan) {
            return finish(deployment_, Verdict::CannotRun, "not all streams began");
        }
        breakStreams();
        return judge();
    }

private:
    void start()
    {
        deployment_.writeConfiguration();
        const std::string zones[] = { "caerdydd-a", "casnewydd-b", "abertawe-c" };
        for (const std::string &zone : zones) {
            for (int number = 1; number <= 3; ++number) {
                deployment_.addServer("i-" + zone + std::to_string(number), "llm", zone, "v1", 48);
            }
        }
        // The numbers of machines in the zones are those of the site cyfrif-dues.
        const std::pair<const char *, int> relays[] = { { "caerdydd-a", 3 },
                                                        { "casnewydd-b", 4 },
                                                        { "abertawe-c", 2 } };
        for (const auto &[zone, count] : relays) {
            for (int number = 1; number <= count; ++number) {
                deployment_.addRelay("front-" + std::string(zone) + "-" + std::to_string(number), zone);
            }
        }
    }

    RelayProcess &survivor() { return deployment_.relays().back(); }

    void beginStreams()
    {
        for (const RelayProcess &relay : deployment_.relays()) {
            if (&relay == &survivor()) {
                continue;
            }
            for (int number = 0; number < StreamsPerRelay; ++number) {
                Stream stream;
                stream.id = "s" + std::to_string(streams_.size());
                stream.path = "/chat/" + stream.id;
                stream.relay = relay.node;
                stream.client = deployment_.send(
                    relay.callerAddress, Deployment::request(stream.id, "POST", stream.path, "prompt", script()));
                streams_.push_back(std::move(stream));
            }
        }
        deployment_.record("began " + std::to_string(streams_.size()) + " streams at eight relays");
    }

    void breakStreams()
    {
        if (Deployment::isTroubled()) {
            for (RelayProcess &relay : deployment_.relays()) {
                if (&relay != &survivor()) {
                    deployment_.killRelay(relay);
                }
            }
            deployment_.record("eight relays are lost; " + survivor().node + " is left alone");
        } else {
            deployment_.record("the clients' connections break; no relay is lost");
        }
        deployment_.runFor(milliseconds(20));
        for (Stream &stream : streams_) {
            stream.events = wholeEvents(stream.client->response().body);
            stream.eventCount = countEvents(stream.events);
            stream.client->close();
        }
    }

    /** Sends requests, and each refused one once more after the time that its answer states. Returns the number that
     *  began to be answered. */
    template<typename TextOf, typename IsGood>
    int countGood(std::size_t count, TextOf textOf, IsGood isGood)
    {
        std::vector<std::size_t> open;
        for (std::size_t index = 0; index < count; ++index) {
            open.push_back(index);
        }
        int good = 0;
        for (int attempt = 0; attempt <= Retries && !open.empty(); ++attempt) {
            std::vector<std::shared_ptr<Client>> clients;
            clients.reserve(open.size());
            for (const std::size_t index : open) {
                clients.push_back(deployment_.send(survivor().callerAddress, textOf(index, attempt)));
            }
            deployment_.runUntil(
                [&clients]() {
                    return std::all_of(clients.begin(), clients.end(), [](const std::shared_ptr<Client> &client) {
                        return isDecided(*client);
                    });
                },
                milliseconds(3000));
            std::vector<std::size_t> refused;
            double longest = 0.0;
            for (std::size_t position = 0; position < open.size(); ++position) {
                const ClientResponse response = clients[position]->response();
                const bool isGoodOne = isGood(open[position], *clients[position]);
                good += isGoodOne ? 1 : 0;
                deployment_.record("request " + std::to_string(open[position]) + " attempt " + std::to_string(attempt)
                                   + " status " + std::to_string(response.status)
                                   + (isGoodOne ? " begins"
                                                : " does not begin, Retry-After " + response.field("Retry-After") + " "
                                              + response.body));
                if (!isGoodOne) {
                    refused.push_back(open[position]);
                    const std::string after = response.field("Retry-After");
                    longest = std::max(longest, after.empty() ? 0.1 : std::stod(after));
                }
                clients[position]->close();
            }
            open = refused;
            deployment_.runFor(milliseconds(static_cast<int>(longest * 1000.0) + 10));
        }
        return good;
    }

    int judge()
    {
        deployment_.record("the streams are taken up at " + survivor().node);
        const int goOn = countGood(
            streams_.size(),
            [this](std::size_t index, int attempt) {
                const Stream &stream = streams_[index];
                return Deployment::request(stream.id + "-again" + std::to_string(attempt),
                                           "POST",
                                           stream.path,
                                           "prompt",
                                           "Last-Event-Id: " + std::to_string(stream.eventCount)
                                               + "\r\nResumes: " + stream.id + "\r\n" + script());
            },
            [this](std::size_t index, const Client &client) {
                return begins(client, streams_[index].path, streams_[index].eventCount);
            });
        deployment_.record("new streams at " + survivor().node);
        const int begin = countGood(
            NewStreams,
            [](std::size_t index, int attempt) {
                const std::string id = "n" + std::to_string(index) + "-" + std::to_string(attempt);
                return Deployment::request(id, "POST", "/chat/n" + std::to_string(index), "prompt", script());
            },
            [](std::size_t index, const Client &client) {
                return begins(client, "/chat/n" + std::to_string(index), 0);
            });
        const int takenUp = static_cast<int>(streams_.size());
        const double share = static_cast<double>(goOn) / takenUp;
        const double newShare = static_cast<double>(begin) / NewStreams;
        const std::string text = std::to_string(goOn) + " of " + std::to_string(takenUp) + " streams go on, "
            + std::to_string(begin) + " of " + std::to_string(NewStreams) + " new streams begin";
        if (takenUp < MinTakenUp || begin == 0 || !deployment_.isReady(survivor())) {
            return finish(deployment_, Verdict::CannotRun, text);
        }
        return finish(deployment_, share < MinShare * newShare ? Verdict::Broken : Verdict::Held, text);
    }

    Deployment deployment_;
    std::vector<Stream> streams_;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        return TakeUps(argc > 1 ? argv[1] : "record.txt").run();
    } catch (const std::exception &error) {
        std::cout << "the case could not run: " << error.what() << std::endl;
        return static_cast<int>(Verdict::CannotRun);
    }
}
