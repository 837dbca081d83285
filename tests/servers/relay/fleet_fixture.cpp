#include "tests/servers/relay/fleet_fixture.h"

namespace GeraniumLever {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Departure departures[] = {
    { "long before", seconds(-15) },
    { "just before", milliseconds(-300) },
    { "during", seconds(1) },
    { "after", seconds(3) },
};

FleetFixture::FleetFixture()
{
    Route live;
    live.name = "live";
    live.host = "a.example";
    live.pathPrefix = "/live/";
    live.pools = { { PoolName("engines"), 1 } };
    live.streamed = true;
    live.resumable = true;
    live.maxAttempts = 2;
    live.timeout = seconds(10);
    live.target = milliseconds(300);
    configuration_.version = ConfigurationVersion(1);
    configuration_.routes = { live };
    configuration_.pools.resize(1);
    configuration_.pools[0].name = PoolName("engines");
}

void FleetFixture::reset()
{
    nodes_.clear();
    storeless_.clear();
    silent_.clear();
    upstreams_.clear();
    versions_.clear();
    refusals_.clear();
    versionTable_ = FakeVersionTable();
    storedOrigins_ = {};
    originWrites_ = 0;
    isFirstStart_ = true;
    serve("old-1", "v1");
    serve("old-2", "v1");
}

void FleetFixture::serve(const std::string &name, const std::string &version)
{
    upstreams_.push_back(upstreamOf(name, "engines", 16));
    upstreams_.back().version = version;
}

void FleetFixture::withdraw(const std::string &version)
{
    std::erase_if(upstreams_, [&version](const UpstreamEntry &entry) { return entry.version == version; });
}

void FleetFixture::startNodes(int count)
{
    std::vector<PeerNode> list;
    for (int number = 0; number < count; ++number) {
        const std::string name = "node-" + std::to_string(number);
        list.push_back({ NodeName(name), DataCenterName("dc-" + std::to_string(number % 3)), name });
    }
    for (const PeerNode &node : list) {
        RelaySystemSettings settings;
        settings.node = node.node;
        settings.dataCenter = node.dataCenter;
        settings.origin = ++lastOrigin_;
        settings.seed = lastOrigin_;
        settings.isFirstStart = isFirstStart_;
        RelaySystem &system = *nodes_.emplace(node.address, std::make_unique<RelaySystem>(settings)).first->second;
        RelayCommands commands;
        system.updateNodes({ list, {} }, clock_.now(), clock_.now(), commands);
    }
    isFirstStart_ = false;
    readStore();
}

void FleetFixture::killAllBut(const std::string &address)
{
    std::erase_if(nodes_, [&address](const auto &item) { return item.first != address; });
}

void FleetFixture::readStore()
{
    for (auto &[address, node] : nodes_) {
        if (!reachesStore(address)) {
            continue;
        }
        RelayCommands commands;
        node->applyConfiguration(
            { std::make_shared<const SiteConfiguration>(configuration_), 1, {} }, clock_.now(), clock_.now(), commands);
        node->updateUpstreams(
            { upstreams_, versionTable_.read(clock_.now()).state }, clock_.now(), clock_.now(), commands);
        deliver(address, commands);
        keepNotes(address);
    }
}

void FleetFixture::readNotes(const std::string &address)
{
    RelayCommands commands;
    nodes_.at(address)->versionNotesRead(versionTable_.read(clock_.now()), clock_.now(), clock_.now(), commands);
    deliver(address, commands);
}

void FleetFixture::readStoredOrigins(const std::string &address)
{
    storedOrigins_.state.clock = clock_.now().time_since_epoch();
    RelayCommands commands;
    nodes_.at(address)->storedOriginsRead(storedOrigins_, clock_.now(), clock_.now(), commands);
    deliver(address, commands);
}

void FleetFixture::keepOrigins(const std::string &address)
{
    std::optional<StoredOriginRow> row = nodes_.at(address)->takeOriginRow(clock_.now());
    if (row.has_value()) {
        storedOrigins_.rows[address + "/" + std::to_string(lastOrigin_)] = std::move(*row);
        ++originWrites_;
        nodes_.at(address)->originRowStored();
    }
}

void FleetFixture::keepNotes(const std::string &address)
{
    if (!nodes_.at(address)->fleet().needsVersionNotes(clock_.now())) {
        return;
    }
    readNotes(address);
    for (const VersionNoteUpdate &update : nodes_.at(address)->fleet().versionNoteUpdates(clock_.now())) {
        versionTable_.write(update);
    }
    readNotes(address);
}

void FleetFixture::pass(Duration time)
{
    for (const TimePoint end = clock_.now() + time; clock_.now() < end;) {
        clock_.advance(Step);
        sinceRead_ += Step;
        for (auto &[address, node] : nodes_) {
            RelayCommands commands;
            node->tick(clock_.now(), commands);
            deliver(address, commands);
            if (reachesStore(address)) {
                keepNotes(address);
                keepOrigins(address);
            }
        }
        if (clock_.now().time_since_epoch() % WorkReportPeriod < Step) {
            reportWork();
        }
        if (sinceRead_ >= seconds(1)) {
            sinceRead_ = Duration(0);
            readStore();
        }
    }
}

void FleetFixture::reportWork()
{
    for (auto &[address, node] : nodes_) {
        for (const OutgoingWorkReport &message : node->reportWork(clock_.now())) {
            const auto receiver = nodes_.find(message.address);
            if (receiver == nodes_.end() || silent_.count(address) + silent_.count(message.address) > 0) {
                continue;
            }
            const std::optional<WorkTotals> totals = receiver->second->workReportReceived(message.report, clock_.now());
            if (totals.has_value()) {
                node->workTotalsReceived(*totals, clock_.now());
            }
        }
    }
}

void FleetFixture::send(const std::string &address,
                        const std::string &id,
                        const std::string &lastEvent,
                        const std::string &resumed)
{
    RelayRequest request;
    request.request = RequestId(1, ++lastRequest_);
    request.callerId = id;
    request.host = "a.example";
    request.path = "/live/1";
    request.lastEventId = lastEvent;
    request.resumedRequest = resumed;
    ids_[request.request] = id;
    RelayCommands commands;
    nodes_.at(address)->arrived(request, clock_.now(), commands);
    deliver(address, commands);
}

void FleetFixture::deliver(const std::string &from, const RelayCommands &commands)
{
    for (const RelayCommand &command : commands) {
        if (const auto *message = std::get_if<OutgoingStreamMessage>(&command)) {
            deliver(from, *message);
        } else if (const auto *dispatch = std::get_if<RelayDispatch>(&command)) {
            versions_[ids_.at(dispatch->request)] = dispatch->upstream.text().substr(0, 3);
            attempts_[ids_.at(dispatch->request)] = dispatch->attempt;
        } else if (const auto *refusal = std::get_if<RelayRefusal>(&command)) {
            refusals_[ids_.at(refusal->request)] = *refusal;
        } else if (std::holds_alternative<ReadVersionNotes>(command) && reachesStore(from)) {
            readNotes(from);
        } else if (std::holds_alternative<ReadStoredOrigins>(command) && reachesStore(from)) {
            readStoredOrigins(from);
        }
    }
}

void FleetFixture::deliver(const std::string &from, const OutgoingStreamMessage &message)
{
    const auto receiver = nodes_.find(message.address);
    if (receiver == nodes_.end() || silent_.count(from) + silent_.count(message.address) > 0) {
        return;
    }
    RelayCommands commands;
    if (const auto *record = std::get_if<StreamRecord>(&message.message)) {
        receiver->second->streamRecordReceived(*record, clock_.now());
    } else if (const auto *query = std::get_if<StreamQuery>(&message.message)) {
        deliver(message.address, { from, receiver->second->answerStreamQuery(*query, clock_.now()) });
    } else if (const auto *report = std::get_if<OriginReport>(&message.message)) {
        receiver->second->originReportReceived(*report, clock_.now());
    } else if (const auto *reply = std::get_if<StreamReply>(&message.message)) {
        receiver->second->streamReplyReceived(*reply, clock_.now(), commands);
        deliver(message.address, commands);
    }
}

bool FleetFixture::begin(const std::string &address, const std::string &id)
{
    send(address, id);
    if (!attempts_.contains(id)) {
        return false;
    }
    RelayResponseHead head;
    head.attempt = attempts_.at(id);
    head.status = 200;
    head.resumable = true;
    RelayCommands commands;
    nodes_.at(address)->headArrived(head, clock_.now(), commands);
    deliver(address, commands);
    return true;
}

void FleetFixture::beginStreams(const std::string &moment)
{
    for (const auto &[address, node] : nodes_) {
        ASSERT_TRUE(begin(address, "begun " + moment + "at " + address));
    }
}

int FleetFixture::takeUpBegunStreams(const std::string &address)
{
    const std::map<std::string, std::string> begun = versions_;
    int resumed = 0;
    for (const auto &[id, version] : begun) {
        const std::string again = "again " + id;
        send(address, again, "3", id);
        pass(4 * Step);
        if (versions_.contains(again)) {
            EXPECT_EQ(versions_[again], version) << again;
            ++resumed;
            RelayCommands commands;
            nodes_.at(address)->ended({ attempts_.at(again) }, clock_.now(), commands);
            deliver(address, commands);
        } else {
            EXPECT_TRUE(refusals_.contains(again)) << again;
        }
    }
    return resumed;
}

void FleetFixture::takeUpStreams(const std::string &moment)
{
    for (const auto &[address, node] : nodes_) {
        for (const auto &[other, otherNode] : nodes_) {
            const std::string id = moment + " at " + address + " of " + other;
            send(address, id, "3", "begun at " + other);
            send(address, id + ", unnamed", "3");
        }
    }
    pass(seconds(1));
}

} // namespace GeraniumLever
