/** Relay systems that exchange messages, and the store that they read and write. */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>

#include "tests/servers/relay/fake_version_table.h"
#include "tests/servers/relay/relay_fixture.h"

namespace GeraniumLever {

/** When the servers of the old version leave the registry, counted from the moment at which nodes are killed. */
struct Departure
{
    const char *name;
    Duration afterKill;
};

extern const Departure departures[4];

class FleetFixture : public testing::Test
{
protected:
    FleetFixture();

    /** Nothing has ever run. */
    void reset();

    void serve(const std::string &name, const std::string &version);

    void withdraw(const std::string &version);

    void startNodes(int count);

    bool reachesStore(const std::string &address) const { return storeless_.count(address) == 0; }

    void killAll() { nodes_.clear(); }

    /** The others neither start again nor leave the list of nodes. */
    void killAllBut(const std::string &address);

    void readStore();

    void readNotes(const std::string &address);

    void readStoredOrigins(const std::string &address);

    /** Writes what nodes want to outlast them. */
    void keepOrigins(const std::string &address);

    void keepNotes(const std::string &address);

    /** Each node reports its work, and learns what has been stored. */
    void reportWork();

    /** All nodes tick, and read the store once a second. */
    void pass(Duration time);

    /** Sends a request to a node; a take-up if lastEvent is not empty. */
    void send(const std::string &address,
              const std::string &id,
              const std::string &lastEvent = "",
              const std::string &resumed = "");

    void deliver(const std::string &from, const RelayCommands &commands);

    void deliver(const std::string &from, const OutgoingStreamMessage &message);

    /** Begins a stream; its caller receives the first events. Returns false if the node does not send it to an
     * upstream. */
    bool begin(const std::string &address, const std::string &id);
    /** Begins a stream at each node. */
    void beginStreams(const std::string &moment = "");

    /** The caller of each begun stream takes it up at the node, once the one before has been answered to the end.
     * Returns the number of streams that went on. */
    int takeUpBegunStreams(const std::string &address);

    /** Callers take up all streams, each at each node, with and without the name of the request that began it. */
    void takeUpStreams(const std::string &moment);

    static constexpr Duration Step = std::chrono::milliseconds(50);
    /** How long killed nodes are away. */
    static constexpr Duration Outage = std::chrono::seconds(2);

    SiteConfiguration configuration_;
    std::vector<UpstreamEntry> upstreams_;
    FakeVersionTable versionTable_;
    StoredOrigins storedOrigins_;
    int originWrites_ = 0;
    bool isFirstStart_ = true;
    SteppedClock clock_;
    std::map<std::string, std::unique_ptr<RelaySystem>> nodes_;
    /** Nodes that do not reach the store, and nodes whose messages do not reach others or come from them. */
    std::set<std::string> storeless_;
    std::set<std::string> silent_;
    std::map<RequestId, std::string> ids_;
    /** Of the last upstream that each request was sent to. */
    std::map<std::string, std::string> versions_;
    std::map<std::string, AttemptId> attempts_;
    std::map<std::string, RelayRefusal> refusals_;
    std::uint64_t lastRequest_ = 0;
    std::uint64_t lastOrigin_ = 0;
    Duration sinceRead_ { 0 };
};

} // namespace GeraniumLever
