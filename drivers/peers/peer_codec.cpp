#include "drivers/peers/peer_codec.h"

#include <cstring>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "drivers/peers/generated/peers.capnp.h"

namespace GeraniumLever {

namespace {

/** Counts that one report holds at most, so that a datagram stays small. */
constexpr std::size_t MostCounts = 1000;

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
    for (const PeerWire::UpstreamCount::Reader count : reader.getCounts()) {
        report.counts.push_back({ count.getUpstream(), count.getRequests() });
    }
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
    const std::size_t size = std::min(report.counts.size(), MostCounts);
    capnp::List<PeerWire::UpstreamCount>::Builder counts = builder.initCounts(static_cast<unsigned>(size));
    for (std::size_t index = 0; index < size; ++index) {
        counts[static_cast<unsigned>(index)].setUpstream(report.counts[index].upstream);
        counts[static_cast<unsigned>(index)].setRequests(report.counts[index].requests);
    }
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
