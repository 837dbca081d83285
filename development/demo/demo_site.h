/** A small site in one process: three nodes in three data centres, stand-in engines, a plain service and a platform. */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "core/core.h"
#include "development/standins/standins.h"
#include "main/node/node.h"

namespace GeraniumLever {

/** Where one of the site's nodes listens. */
struct DemoNode
{
    std::string name;
    std::string dataCenter;
    std::string callerAddress;
    std::string operatorAddress;
};

class DemoSite
{
public:
    /** Takes ports from basePort on, on 127.0.0.1 to 127.0.0.3. */
    DemoSite(boost::asio::io_context &context, std::uint16_t basePort);

    /** Starts the nodes; an error if an address is taken. */
    Result<Success> start();

    const std::vector<DemoNode> &nodes() const { return nodes_; }

    /** The change ticket that describes the site's classes, teams, pools and upstreams. */
    std::string ticketText() const;

    static const std::string &callerKey();
    static const std::string &operatorKey();

private:
    Settings settingsOf(std::size_t index) const;

    std::uint16_t basePort_;
    std::vector<DemoNode> nodes_;
    std::string platformAddress_;
    std::string serviceAddress_;
    std::vector<std::string> engineAddresses_;
    std::unique_ptr<PlatformStandIn> platform_;
    std::unique_ptr<ServiceStandIn> service_;
    std::vector<std::unique_ptr<EngineStandIn>> engines_;
    std::vector<std::unique_ptr<EntryNode>> entryNodes_;
};

} // namespace GeraniumLever
