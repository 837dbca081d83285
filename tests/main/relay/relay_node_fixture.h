/** A relay node, the platform's store and servers on one event loop. */
#pragma once

#include <memory>

#include <gtest/gtest.h>

#include "development/platform_standins/platform_standins.h"
#include "main/relay/relay.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_connection.h"

namespace GeraniumLever {

/** What a caller has received of one answer. */
struct ReceivedResponse
{
    unsigned status = 0;
    std::string head;
    /** Without the marks of chunks. */
    std::string body;
    /** True if the body ended as its framing says. */
    bool bodyComplete = false;
};

/** Reads the first answer of the bytes; takes the bytes of a whole one out of them. */
ReceivedResponse takeResponse(std::string &bytes);

class RelayNodeFixture : public testing::Test
{
protected:
    RelayNodeFixture();
    ~RelayNodeFixture() override;

    /** Writes the configuration below into the store. */
    void writeConfiguration();
    /** Adds a server and registers it. */
    ServerStandIn &addServer(const std::string &id, const std::string &service, std::uint32_t slots = 8);
    void registerServer(const ServerStandIn &server, const std::string &id, const std::string &state = "ready");

    /** Starts the node and waits until it takes requests. */
    void startNode();

    std::shared_ptr<RawConnection> connect();

    /** A request with an identifier, a key and a length; fields: whole lines. */
    static std::string request(const std::string &id,
                               const std::string &method,
                               const std::string &path,
                               const std::string &body = "",
                               const std::string &fields = "");

    /** Sends on a connection of its own and waits for the whole answer or the connection's end. */
    ReceivedResponse sendRequest(const std::string &text);
    /** The same on an open connection. */
    ReceivedResponse sendRequestOn(const std::shared_ptr<RawConnection> &connection, const std::string &text);

    bool runUntil(const std::function<bool()> &condition) { return loop_.runUntil(condition); }
    void runFor(std::chrono::milliseconds time);

    /** Text of the routes' and teams' JSON; tests may change it before writeConfiguration(). */
    std::uint64_t version_ = 1;
    std::string keys_ = "\"key-one\"";
    std::string extraRoutes_;

    EventLoop loop_;
    RunLedger ledger_;
    StoreStandIn store_;
    std::vector<std::unique_ptr<ServerStandIn>> servers_;
    LineLog log_;
    RelaySettings settings_;
    std::unique_ptr<RelayNode> node_;
    bool stopped_ = false;
};

} // namespace GeraniumLever
