#include "development/demo/demo_site.h"

#include <sstream>

namespace GeraniumLever {

namespace {

constexpr std::size_t NodeCount = 3;
constexpr std::size_t EngineCount = 3;
constexpr const char *DataCenters[NodeCount] = { "north", "middle", "south" };
/** SHA-256 of callerKey() and of operatorKey(). */
constexpr const char *CallerKeyHash = "cb6c3e7b71ed2559afa81f741fdf9ffb954fe4284132bb34f7f50d7f4e4eb9bb";
constexpr const char *OperatorKeyHash = "4a7c449d22a99026fac16a47621ff68792ff589f72334ea3950ce186a5615e9a";

std::string localAddress(std::size_t host, std::uint16_t port)
{
    return "127.0.0." + std::to_string(host + 1) + ":" + std::to_string(port);
}

} // namespace

DemoSite::DemoSite(boost::asio::io_context &context, std::uint16_t basePort)
    : basePort_(basePort)
    , platformAddress_(localAddress(0, static_cast<std::uint16_t>(basePort + 3)))
    , serviceAddress_(localAddress(0, static_cast<std::uint16_t>(basePort + 4)))
{
    platform_ = std::make_unique<PlatformStandIn>(platformAddress_, context);
    service_ = std::make_unique<ServiceStandIn>(ServiceSettings { serviceAddress_, Duration(0) }, context);
    for (std::size_t i = 0; i < EngineCount; ++i) {
        engineAddresses_.push_back(localAddress(i, static_cast<std::uint16_t>(basePort + 5)));
        EngineSettings settings;
        settings.listenAddress = engineAddresses_.back();
        engines_.push_back(std::make_unique<EngineStandIn>(settings, context, []() {}));
    }
    for (std::size_t i = 0; i < NodeCount; ++i) {
        DemoNode node;
        node.name = "entry-" + std::to_string(i + 1);
        node.dataCenter = DataCenters[i];
        node.callerAddress = localAddress(i, basePort);
        node.operatorAddress = localAddress(i, static_cast<std::uint16_t>(basePort + 1));
        nodes_.push_back(node);
    }
    for (std::size_t i = 0; i < NodeCount; ++i) {
        entryNodes_.push_back(std::make_unique<EntryNode>(settingsOf(i), context, []() {}));
    }
}

Result<Success> DemoSite::start()
{
    for (const std::unique_ptr<EntryNode> &node : entryNodes_) {
        const Result<Success> started = node->start();
        if (!succeeded(started)) {
            return started;
        }
    }
    return Success {};
}

Settings DemoSite::settingsOf(std::size_t index) const
{
    Settings settings;
    settings.node = NodeName(nodes_[index].name);
    settings.dataCenter = DataCenterName(nodes_[index].dataCenter);
    settings.callerAddress = nodes_[index].callerAddress;
    settings.operatorAddress = nodes_[index].operatorAddress;
    settings.meshAddress = localAddress(index, static_cast<std::uint16_t>(basePort_ + 2));
    settings.meshKey = "demo-mesh-key";
    settings.tableAddress = platformAddress_;
    settings.objectAddress = platformAddress_;
    settings.vmListAddress = platformAddress_;
    settings.operatorKeyHashes = { OperatorKeyHash };
    settings.seed = index + 1;
    for (std::size_t i = 0; i < NodeCount; ++i) {
        PeerSettings peer;
        peer.node = NodeName(nodes_[i].name);
        peer.dataCenter = DataCenterName(nodes_[i].dataCenter);
        peer.meshAddress = localAddress(i, static_cast<std::uint16_t>(basePort_ + 2));
        peer.callerAddress = nodes_[i].callerAddress;
        settings.peers.push_back(peer);
    }
    return settings;
}

std::string DemoSite::ticketText() const
{
    std::ostringstream text;
    text << "number: 1\nauthor: demo\nchanges:\n"
            "  - {kind: class, name: live, tier: 0, first_token_target_ms: 500}\n"
            "  - {kind: class, name: bulk, tier: 3, preemptible: true}\n"
            "  - {kind: class, name: payment, tier: 1, idempotent: false}\n"
            "  - {kind: model, name: small-model}\n"
            "  - {kind: pool, name: engines, model: small-model}\n"
            "  - {kind: pool, name: desk, service: desk}\n"
            "  - {kind: team, name: counter, key_hashes: ["
         << CallerKeyHash << "]}\n";
    for (std::size_t i = 0; i < engineAddresses_.size(); ++i) {
        text << "  - {kind: upstream, name: engine-" << i + 1 << ", pool: engines, data_center: " << DataCenters[i]
             << ", address: \"" << engineAddresses_[i] << "\", seats: 8}\n";
    }
    text << "  - {kind: upstream, name: desk-1, pool: desk, data_center: " << DataCenters[0] << ", address: \""
         << serviceAddress_ << "\", seats: 8}\n";
    return text.str();
}

const std::string &DemoSite::callerKey()
{
    static const std::string key = "demo-caller-key";
    return key;
}

const std::string &DemoSite::operatorKey()
{
    static const std::string key = "demo-operator-key";
    return key;
}

} // namespace GeraniumLever
