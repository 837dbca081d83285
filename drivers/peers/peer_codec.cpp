#include "drivers/peers/peer_codec.h"

#include <algorithm>
#include <cstring>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "drivers/peers/generated/peers.capnp.h"

namespace GeraniumLever {

namespace {

/** Bounds times of damaged datagrams, so that no sum of them overflows. */
constexpr std::int64_t MaxMicroseconds = 100'000'000'000'000'000;

Duration durationOf(std::int64_t microseconds)
{
    return Duration(std::clamp(microseconds, -MaxMicroseconds, MaxMicroseconds));
}

TimePoint timeOf(std::int64_t microseconds)
{
    return TimePoint(durationOf(microseconds));
}

std::string textOf(capnp::Text::Reader reader)
{
    return std::string(reader.cStr(), reader.size());
}

PeerReport readReport(PeerWire::PeerReport::Reader reader)
{
    PeerReport report;
    report.node = NodeName(textOf(reader.getNode()));
    report.incarnation = reader.getIncarnation();
    report.sequence = reader.getSequence();
    report.configuration = { ConfigurationVersion(reader.getConfiguration()), reader.getConfigurationDigest() };
    report.configurationAge = durationOf(reader.getConfigurationAge());
    report.sentAt = timeOf(reader.getSentAt());
    report.sentAfter = timeOf(reader.getSentAfter());
    report.storeEra.era = reader.getStoreEra();
    report.storeEra.age = durationOf(reader.getStoreEraAge());
    report.storeEra.firstVersion = reader.getStoreFirstVersion();
    report.listsReceiver = reader.getListsReceiver();
    return report;
}

WorkAccount readWork(PeerWire::WorkAccount::Reader reader)
{
    WorkAccount account;
    account.upstreams.reserve(reader.getUpstreams().size());
    for (const PeerWire::UpstreamWork::Reader item : reader.getUpstreams()) {
        account.upstreams.push_back(
            { item.getUpstream(), item.getRequests(), item.getTokens(), item.getUnreadTokens(), item.getWaiting() });
    }
    for (const PeerWire::PauseDemand::Reader item : reader.getDemands()) {
        account.demands.push_back({ item.getPauseMilliseconds(), item.getWork() });
    }
    return account;
}

StreamOrigin readOrigin(PeerWire::StreamOrigin::Reader reader)
{
    return { PoolName(textOf(reader.getPool())), textOf(reader.getVersion()) };
}

OriginReport readOrigins(PeerWire::OriginReport::Reader reader)
{
    OriginReport report;
    report.node = NodeName(textOf(reader.getNode()));
    report.incarnation = reader.getIncarnation();
    report.sequence = reader.getSequence();
    report.lifetime = durationOf(reader.getLifetime());
    for (const PeerWire::OriginStreams::Reader item : reader.getStreams()) {
        std::vector<std::uint64_t> &hashes = report.streams[readOrigin(item.getOrigin())];
        for (const std::uint64_t hash : item.getStreams()) {
            hashes.push_back(hash);
        }
    }
    return report;
}

std::optional<Duration> readAge(std::int64_t microseconds)
{
    return microseconds < 0 ? std::nullopt : std::optional<Duration>(durationOf(microseconds));
}

CrashReport readCrashes(PeerWire::CrashReport::Reader reader)
{
    CrashReport report;
    report.node = NodeName(textOf(reader.getNode()));
    for (const PeerWire::SuspectReport::Reader item : reader.getSuspects()) {
        SuspectReport suspect;
        suspect.part = item.getPart();
        suspect.depth = item.getDepth();
        suspect.hadAnswers = item.getHadAnswers();
        for (const PeerWire::SuspectedCrash::Reader crash : item.getCrashes()) {
            suspect.crashes.push_back({ crash.getUpstream(),
                                        durationOf(crash.getAge()),
                                        durationOf(crash.getSentAge()),
                                        crash.getCulprit() });
        }
        suspect.clearedAge = readAge(item.getClearedAge());
        suspect.trialAge = readAge(item.getTrialAge());
        report.suspects.push_back(std::move(suspect));
    }
    return report;
}

LimitReport readLimits(PeerWire::LimitReport::Reader reader)
{
    LimitReport report;
    report.node = NodeName(textOf(reader.getNode()));
    for (const PeerWire::LimitStatement::Reader item : reader.getStatements()) {
        const double rate = item.getRate();
        report.statements.push_back({ UpstreamName(textOf(item.getUpstream())),
                                      rate >= 0.0 ? std::optional<double>(rate) : std::nullopt,
                                      FleetTime(durationOf(item.getSentAt())),
                                      FleetTime(durationOf(item.getHeardAt())) });
    }
    return report;
}

std::optional<PeerDatagram> readMessage(PeerWire::Datagram::Reader reader)
{
    switch (reader.which()) {
    case PeerWire::Datagram::REPORT:
        return readReport(reader.getReport());
    case PeerWire::Datagram::WORK: {
        const PeerWire::WorkReport::Reader work = reader.getWork();
        return WorkReport { NodeName(textOf(work.getNode())),
                            work.getIncarnation(),
                            work.getSequence(),
                            work.getCollected(),
                            readWork(work.getWork()) };
    }
    case PeerWire::Datagram::TOTALS: {
        const PeerWire::WorkTotals::Reader totals = reader.getTotals();
        return WorkTotals { NodeName(textOf(totals.getCollector())),
                            totals.getSequence(),
                            readWork(totals.getOthers()),
                            totals.getStoredOrigins() };
    }
    case PeerWire::Datagram::STREAM_RECORD: {
        const PeerWire::StreamRecord::Reader record = reader.getStreamRecord();
        return StreamRecord { NodeName(textOf(record.getNode())),
                              textOf(record.getStream()),
                              readOrigin(record.getOrigin()),
                              durationOf(record.getLifetime()) };
    }
    case PeerWire::Datagram::STREAM_QUERY: {
        const PeerWire::StreamQuery::Reader query = reader.getStreamQuery();
        return StreamQuery { NodeName(textOf(query.getNode())), textOf(query.getStream()) };
    }
    case PeerWire::Datagram::STREAM_REPLY: {
        const PeerWire::StreamReply::Reader reply = reader.getStreamReply();
        StreamReply message { NodeName(textOf(reply.getNode())), textOf(reply.getStream()), std::nullopt };
        if (reply.hasOrigin()) {
            message.origin = readOrigin(reply.getOrigin());
        }
        return message;
    }
    case PeerWire::Datagram::CRASHES:
        return readCrashes(reader.getCrashes());
    case PeerWire::Datagram::LIMITS:
        return readLimits(reader.getLimits());
    case PeerWire::Datagram::ORIGINS:
        return readOrigins(reader.getOrigins());
    }
    return std::nullopt;
}

kj::StringPtr pointerTo(const std::string &text)
{
    return { text.c_str(), text.size() };
}

void write(const PeerReport &report, PeerWire::Datagram::Builder datagram)
{
    PeerWire::PeerReport::Builder builder = datagram.initReport();
    builder.setNode(pointerTo(report.node.text()));
    builder.setIncarnation(report.incarnation);
    builder.setSequence(report.sequence);
    builder.setConfiguration(report.configuration.version.value());
    builder.setConfigurationDigest(report.configuration.digest);
    builder.setConfigurationAge(report.configurationAge.count());
    builder.setSentAt(report.sentAt.time_since_epoch().count());
    builder.setSentAfter(report.sentAfter.time_since_epoch().count());
    builder.setStoreEra(report.storeEra.era);
    builder.setStoreEraAge(report.storeEra.age.count());
    builder.setStoreFirstVersion(report.storeEra.firstVersion);
    builder.setListsReceiver(report.listsReceiver);
}

void writeWork(const WorkAccount &account, PeerWire::WorkAccount::Builder builder)
{
    capnp::List<PeerWire::UpstreamWork>::Builder upstreams =
        builder.initUpstreams(static_cast<unsigned>(account.upstreams.size()));
    unsigned index = 0;
    for (const UpstreamWork &item : account.upstreams) {
        PeerWire::UpstreamWork::Builder target = upstreams[index++];
        target.setUpstream(item.upstream);
        target.setRequests(item.requests);
        target.setTokens(item.tokens);
        target.setUnreadTokens(item.unreadTokens);
        target.setWaiting(item.waiting);
    }
    capnp::List<PeerWire::PauseDemand>::Builder demands =
        builder.initDemands(static_cast<unsigned>(account.demands.size()));
    index = 0;
    for (const PauseDemand &item : account.demands) {
        PeerWire::PauseDemand::Builder target = demands[index++];
        target.setPauseMilliseconds(item.pauseMilliseconds);
        target.setWork(item.work);
    }
}

void write(const WorkReport &report, PeerWire::Datagram::Builder datagram)
{
    PeerWire::WorkReport::Builder builder = datagram.initWork();
    builder.setNode(pointerTo(report.node.text()));
    builder.setIncarnation(report.incarnation);
    builder.setSequence(report.sequence);
    builder.setCollected(report.collected);
    writeWork(report.work, builder.initWork());
}

void write(const WorkTotals &totals, PeerWire::Datagram::Builder datagram)
{
    PeerWire::WorkTotals::Builder builder = datagram.initTotals();
    builder.setCollector(pointerTo(totals.collector.text()));
    builder.setSequence(totals.sequence);
    writeWork(totals.others, builder.initOthers());
    builder.setStoredOrigins(totals.storedOrigins);
}

void writeOrigin(const StreamOrigin &origin, PeerWire::StreamOrigin::Builder builder)
{
    builder.setPool(pointerTo(origin.pool.text()));
    builder.setVersion(pointerTo(origin.version));
}

void write(const StreamRecord &record, PeerWire::Datagram::Builder datagram)
{
    PeerWire::StreamRecord::Builder builder = datagram.initStreamRecord();
    builder.setNode(pointerTo(record.node.text()));
    builder.setStream(pointerTo(record.stream));
    writeOrigin(record.origin, builder.initOrigin());
    builder.setLifetime(record.lifetime.count());
}

void write(const StreamQuery &query, PeerWire::Datagram::Builder datagram)
{
    PeerWire::StreamQuery::Builder builder = datagram.initStreamQuery();
    builder.setNode(pointerTo(query.node.text()));
    builder.setStream(pointerTo(query.stream));
}

void write(const StreamReply &reply, PeerWire::Datagram::Builder datagram)
{
    PeerWire::StreamReply::Builder builder = datagram.initStreamReply();
    builder.setNode(pointerTo(reply.node.text()));
    builder.setStream(pointerTo(reply.stream));
    if (reply.origin.has_value()) {
        writeOrigin(*reply.origin, builder.initOrigin());
    }
}

void write(const OriginReport &report, PeerWire::Datagram::Builder datagram)
{
    PeerWire::OriginReport::Builder builder = datagram.initOrigins();
    builder.setNode(pointerTo(report.node.text()));
    builder.setIncarnation(report.incarnation);
    builder.setSequence(report.sequence);
    builder.setLifetime(report.lifetime.count());
    capnp::List<PeerWire::OriginStreams>::Builder streams =
        builder.initStreams(static_cast<unsigned>(report.streams.size()));
    unsigned index = 0;
    for (const auto &[origin, hashes] : report.streams) {
        PeerWire::OriginStreams::Builder target = streams[index++];
        writeOrigin(origin, target.initOrigin());
        target.setStreams(kj::arrayPtr(hashes.data(), hashes.size()));
    }
}

void write(const CrashReport &report, PeerWire::Datagram::Builder datagram)
{
    constexpr std::int64_t NoAge = -1;
    PeerWire::CrashReport::Builder builder = datagram.initCrashes();
    builder.setNode(pointerTo(report.node.text()));
    capnp::List<PeerWire::SuspectReport>::Builder suspects =
        builder.initSuspects(static_cast<unsigned>(report.suspects.size()));
    unsigned index = 0;
    for (const SuspectReport &item : report.suspects) {
        PeerWire::SuspectReport::Builder target = suspects[index++];
        target.setPart(item.part);
        target.setDepth(item.depth);
        target.setHadAnswers(item.hadAnswers);
        target.setClearedAge(item.clearedAge.has_value() ? item.clearedAge->count() : NoAge);
        target.setTrialAge(item.trialAge.has_value() ? item.trialAge->count() : NoAge);
        capnp::List<PeerWire::SuspectedCrash>::Builder crashes =
            target.initCrashes(static_cast<unsigned>(item.crashes.size()));
        unsigned crashIndex = 0;
        for (const SuspectedCrash &crash : item.crashes) {
            PeerWire::SuspectedCrash::Builder crashTarget = crashes[crashIndex++];
            crashTarget.setUpstream(crash.upstream);
            crashTarget.setAge(crash.age.count());
            crashTarget.setSentAge(crash.sentAge.count());
            crashTarget.setCulprit(crash.culprit);
        }
    }
}

void write(const LimitReport &report, PeerWire::Datagram::Builder datagram)
{
    constexpr double NoRate = -1.0;
    PeerWire::LimitReport::Builder builder = datagram.initLimits();
    builder.setNode(pointerTo(report.node.text()));
    capnp::List<PeerWire::LimitStatement>::Builder statements =
        builder.initStatements(static_cast<unsigned>(report.statements.size()));
    unsigned index = 0;
    for (const LimitStatement &item : report.statements) {
        PeerWire::LimitStatement::Builder target = statements[index++];
        target.setUpstream(pointerTo(item.upstream.text()));
        target.setRate(item.rate.value_or(NoRate));
        target.setSentAt(item.sentAt.time_since_epoch().count());
        target.setHeardAt(item.heardAt.time_since_epoch().count());
    }
}

} // namespace

std::string encodePeerDatagram(const PeerDatagram &message)
{
    capnp::MallocMessageBuilder builder;
    const PeerWire::Datagram::Builder datagram = builder.initRoot<PeerWire::Datagram>();
    std::visit([&datagram](const auto &value) { write(value, datagram); }, message);
    const kj::Array<capnp::word> words = capnp::messageToFlatArray(builder);
    const kj::ArrayPtr<const kj::byte> bytes = words.asBytes();
    return std::string(reinterpret_cast<const char *>(bytes.begin()), bytes.size());
}

std::optional<PeerDatagram> decodePeerDatagram(std::string_view bytes)
{
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0) {
        return std::nullopt;
    }
    kj::Array<capnp::word> words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
    std::optional<PeerDatagram> message;
    const kj::Maybe<kj::Exception> exception = kj::runCatchingExceptions([&]() {
        capnp::FlatArrayMessageReader reader(words);
        message = readMessage(reader.getRoot<PeerWire::Datagram>());
    });
    return exception == nullptr ? message : std::nullopt;
}

} // namespace GeraniumLever
