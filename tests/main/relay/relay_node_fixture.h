/** Fixture that runs a relay node and stand-ins for the platform's store and servers on one event loop. */
#pragma once

#include <memory>

#include <gtest/gtest.h>

#include "development/platform_standins/platform_standins.h"
#include "main/relay/relay.h"
#include "tests/drivers/http/event_loop.h"
#include "tests/drivers/http/raw_connection.h"

namespace GeraniumLever {

/** The part of a response that a caller has received. */
struct ReceivedResponse
{
    unsigned status = 0;
    std::string head;
    /** Decoded body, without chunk framing. */
    std::string body;
    /** True if the body is complete according to its framing. */
    bool bodyComplete = false;
};

/** Parses the first response in the bytes; removes its bytes if it is complete. */
ReceivedResponse takeResponse(std::string &bytes);

class RelayNodeFixture : public testing::Test
{
protected:
    RelayNodeFixture();
    ~RelayNodeFixture() override;

    /** Writes a configuration with the version, keys and extra routes below into the store. */
    void writeConfiguration();
    /** Starts a server and registers it in the store. */
    ServerStandIn &addServer(const std::string &id,
                             const std::string &service,
                             std::uint32_t slots = 8,
                             const std::string &version = "v1");
    void registerServer(const ServerStandIn &server, const std::string &id, const std::string &state = "ready");

    /** Starts the node and waits until it can serve requests. */
    void startNode();

    std::shared_ptr<RawConnection> connect();

    /** Formats a request with an identifier, a key and a length. fields: further header lines with their line ends. */
    static std::string request(const std::string &id,
                               const std::string &method,
                               const std::string &path,
                               const std::string &body = "",
                               const std::string &fields = "");

    /** Sends on a new connection and waits for the complete response or the end of the connection. */
    ReceivedResponse sendRequest(const std::string &text);
    /** Sends on an open connection and waits in the same way. */
    ReceivedResponse sendRequestOn(const std::shared_ptr<RawConnection> &connection, const std::string &text);

    bool runUntil(const std::function<bool()> &condition) { return loop_.runUntil(condition); }
    void runFor(std::chrono::milliseconds time);

    /** Parts of the configuration; tests may change them before writeConfiguration(). */
    std::uint64_t version_ = 1;
    std::string keys_ = "\"key-one\"";
    std::string extraRoutes_;

    EventLoop loop_;
    RunLedger ledger_;
    StoreStandIn store_;
    std::vector<std::unique_ptr<ServerStandIn>> servers_;
    NonBlockingLogSink log_;
    RelaySettings settings_;
    std::unique_ptr<RelayNode> node_;
    bool stopped_ = false;
};

} // namespace GeraniumLever
