#include "drivers/peers/peer_codec.h"

#include <cstring>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "drivers/peers/generated/peers.capnp.h"

namespace GeraniumLever {

namespace {

TimePoint timeOf(std::int64_t microseconds)
{
    return TimePoint(Duration(microseconds));
}

PeerReport readReport(PeerWire::PeerReport::Reader reader)
{
    PeerReport report;
    report.node = NodeName(std::string(reader.getNode().cStr(), reader.getNode().size()));
    report.incarnation = reader.getIncarnation();
    report.sequence = reader.getSequence();
    report.configuration = ConfigurationVersion(reader.getConfiguration());
    report.configurationAge = Duration(reader.getConfigurationAge());
    report.sentAt = timeOf(reader.getSentAt());
    report.sentAfter = timeOf(reader.getSentAfter());
    return report;
}

} // namespace

std::string encodePeerReport(const PeerReport &report)
{
    capnp::MallocMessageBuilder message;
    PeerWire::PeerReport::Builder builder = message.initRoot<PeerWire::PeerReport>();
    builder.setNode(kj::StringPtr(report.node.text().c_str(), report.node.text().size()));
    builder.setIncarnation(report.incarnation);
    builder.setSequence(report.sequence);
    builder.setConfiguration(report.configuration.value());
    builder.setConfigurationAge(report.configurationAge.count());
    builder.setSentAt(report.sentAt.time_since_epoch().count());
    builder.setSentAfter(report.sentAfter.time_since_epoch().count());
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(message);
    const kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

std::optional<PeerReport> decodePeerReport(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
        return std::nullopt;
    }
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
    std::optional<PeerReport> report;
    const kj::Maybe<kj::Exception> exception = kj::runCatchingExceptions([&]() {
        capnp::FlatArrayMessageReader reader(words);
        report = readReport(reader.getRoot<PeerWire::PeerReport>());
    });
    return exception == nullptr ? report : std::nullopt;
}

} // namespace GeraniumLever
