/** Tests that damaged rows of the store never do more than being ignored. */
#include <gtest/gtest.h>

#include "platform/configuration_codec.h"
#include "platform/node_codec.h"
#include "platform/quarantine_codec.h"
#include "platform/registry_codec.h"
#include "platform/stored_origin_codec.h"
#include "platform/version_note_codec.h"
#include "tests/development/mutation.h"

namespace GeraniumLever {
namespace {

constexpr int Rounds = 20000;

const std::string configurationText =
    R"({"version":3,"routes":[{"name":"live","host":"a.example","path_prefix":"/live/","kind":"stream","service":"engines",)"
    R"("timeout_ms":3000,"target_latency_ms":300,"priority":1,"max_attempts":2,"resumable":true,"gap_aim_ms":200},)"
    R"({"name":"read","host":"a.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":1000,)"
    R"("target_latency_ms":300,"backends":[{"service":"plain","weight":90},{"service":"other","weight":10}]}],)"
    R"("services":[{"name":"plain","health_path":"/healthz","max_conns":100},)"
    R"({"name":"engines","max_conns":100,"engine":{"slots":8,"kv_capacity":100000}}],)"
    R"("limits":{"max_header_bytes":4096,"max_body_bytes":2000000,"header_timeout_ms":400,"idle_timeout_ms":2000},)"
    R"("tenants":[{"name":"team","api_keys":["key-one"],"priority":1}]})";
const std::string upstreamText =
    R"({"service":"engines","address":"10.1.2.3:80","zone":"z","version":"v1","slots":8,"state":"ready",)"
    R"("cold_left_ms":5,"born":1700000000000,"seq":7})";

/** A system that is given whatever can be decoded. */
class MalformedRowsTest : public testing::Test
{
protected:
    void apply(const std::string &configuration, const std::string &upstream)
    {
        const Result<SiteConfiguration> decoded = decodeConfiguration(configuration);
        std::optional<UpstreamEntry> entry = decodeUpstream("e1", upstream);
        if (!succeeded(decoded)) {
            return;
        }
        RelaySystemSettings settings;
        settings.node = NodeName("n1");
        settings.origin = 1;
        RelaySystem system(settings);
        StoredUpstreams upstreams;
        if (entry.has_value()) {
            upstreams.upstreams = { *entry };
        }
        RelayCommands commands;
        system.applyConfiguration({ std::make_shared<const SiteConfiguration>(valueOf(decoded)), 1, {} },
                                  clock_.now(),
                                  clock_.now(),
                                  commands);
        system.updateUpstreams(upstreams, clock_.now(), clock_.now(), commands);
        for (const char *path : { "/live/1", "/read/1" }) {
            RelayRequest request;
            request.request = RequestId(1, ++lastRequest_);
            request.callerId = "r";
            request.host = "a.example";
            request.path = path;
            request.key = "key-one";
            request.deadline = std::chrono::milliseconds(1000);
            request.prompt = { 1000, 100, { { 1, 500 }, { 2, 500 } }, 0 };
            system.arrived(request, clock_.now(), commands);
        }
        clock_.advance(std::chrono::milliseconds(100));
        system.tick(clock_.now(), commands);
        ++applied_;
    }

    RandomSource random_ { 1 };
    SteppedClock clock_;
    std::uint64_t lastRequest_ = 0;
    int applied_ = 0;
};

TEST_F(MalformedRowsTest, ConfigurationsAndRegistrations)
{
    for (int round = 0; round < Rounds; ++round) {
        const bool damagesConfiguration = random_.below(2) == 0;
        apply(damagesConfiguration ? mutated(configurationText, random_) : configurationText,
              damagesConfiguration ? upstreamText : mutated(upstreamText, random_));
    }
    EXPECT_GT(applied_, Rounds / 10) << "much of the damage can still be read";
}

TEST_F(MalformedRowsTest, RowsOfTheRelaysThemselves)
{
    const std::string node = encodeNode({ NodeName("n"), DataCenterName("dc"), "10.0.0.1:5", 0.25 });
    const std::string part = encodeQuarantinedPart(3);
    const std::string note = encodePoolNote(
        { { { "v1", std::nullopt }, { "v2", std::chrono::seconds(5) } }, std::chrono::seconds(1), 77, Duration(0) });
    StoredOriginRow origins;
    origins.streams[{ PoolName("engines"), "v1" }] = { 1, 2, 3 };
    const std::string streams = encodeStoredOrigins(origins);
    int decoded = 0;
    for (int round = 0; round < Rounds; ++round) {
        decoded += decodeNode("n", mutated(node, random_)).has_value() ? 1 : 0;
        decoded += decodeQuarantinedPart(mutated("1f", random_), mutated(part, random_)).has_value() ? 1 : 0;
        const std::optional<PoolNote> damagedNote = decodePoolNote("engines", mutated(note, random_));
        const std::optional<StoredOriginRow> damagedOrigins = decodeStoredOrigins("n/1", mutated(streams, random_));
        StoredVersionNotes notes;
        notes.state.clock = std::chrono::seconds(100);
        if (damagedNote.has_value()) {
            notes.pools[PoolName("engines")] = { *damagedNote, 1 };
        }
        VersionNotes known(false);
        known.updateRoutes(
            RouteTable(std::make_shared<const SiteConfiguration>(valueOf(decodeConfiguration(configurationText)))),
            clock_.now());
        known.update(notes, clock_.now());
        known.onlyVersion(PoolName("engines"));
        known.updates([](const PoolName &) { return 0; }, clock_.now());
        StoredOrigins stored;
        stored.state.clock = std::chrono::seconds(100);
        if (damagedOrigins.has_value()) {
            stored.rows["n/1"] = *damagedOrigins;
        }
        stored.find("r1");
        stored.outdatedRows();
        decoded += (damagedNote.has_value() ? 1 : 0) + (damagedOrigins.has_value() ? 1 : 0);
    }
    EXPECT_GT(decoded, Rounds / 10) << "much of the damage can still be read";
}

} // namespace
} // namespace GeraniumLever
