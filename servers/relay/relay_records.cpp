#include "servers/relay/relay_records.h"

#include <charconv>
#include <utility>

namespace GeraniumLever {

namespace {

Decision requestDecision(std::string kind, const RelayRow &row)
{
    Decision decision { std::move(kind), {} };
    decision.fields.emplace_back("request", row.request.callerId);
    decision.fields.emplace_back("route", row.route->name);
    decision.fields.emplace_back("team", row.team.text());
    decision.fields.emplace_back("tier", std::to_string(row.tier));
    decision.fields.emplace_back("pool", row.pool.text());
    decision.fields.emplace_back("config", std::to_string(row.table->configuration().version.value()));
    return decision;
}

std::string milliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration));
}

const char *framingName(BodyFraming framing)
{
    switch (framing) {
    case BodyFraming::Length:
        return "length";
    case BodyFraming::Chunked:
        return "chunked";
    case BodyFraming::Connection:
        return "connection";
    }
    return "none";
}

const char *stepName(SearchStep step)
{
    switch (step) {
    case SearchStep::OwnMemory:
        return "memory";
    case SearchStep::AskingNodes:
        return "nodes";
    case SearchStep::ReadingNotes:
        return "notes";
    case SearchStep::ReadingStoredOrigins:
        return "stored_origins";
    }
    return "none";
}

/** Adds nothing if no response was forwarded. */
void addResponseFields(Decision &decision, const RelayRow &row)
{
    if (!row.firstByte.has_value()) {
        return;
    }
    decision.fields.emplace_back("framing", framingName(row.framing));
    decision.fields.emplace_back("reused_connection", row.connectionReused ? "true" : "false");
}

Decision silenceDecision(const char *kind, const RelayRow &row, TimePoint now)
{
    Decision decision = requestDecision(kind, row);
    decision.fields.emplace_back("upstream", row.upstream.name.text());
    decision.fields.emplace_back("attempt", std::to_string(row.attempts));
    decision.fields.emplace_back("silent_ms", milliseconds(now - row.progressAt));
    return decision;
}

} // namespace

Decision recordConfiguration(const StoredConfiguration &stored, ConfigurationVersion before)
{
    const SiteConfiguration &configuration = *stored.configuration;
    Decision decision { "configuration", {} };
    decision.fields.emplace_back("era", std::to_string(stored.state.era));
    decision.fields.emplace_back("version", std::to_string(configuration.version.value()));
    decision.fields.emplace_back("before", std::to_string(before.value()));
    decision.fields.emplace_back("routes", std::to_string(configuration.routes.size()));
    decision.fields.emplace_back("teams", std::to_string(configuration.teams.size()));
    return decision;
}

Decision recordStoreEra(const StoreEras &eras, TimePoint now)
{
    const StoreEraReport known = eras.report(now);
    Decision decision { "store_restored", {} };
    decision.fields.emplace_back("era", std::to_string(known.era));
    decision.fields.emplace_back("age_ms", milliseconds(known.age));
    decision.fields.emplace_back("first_version", std::to_string(known.firstVersion));
    return decision;
}

std::vector<Decision> recordDirectoryChanges(const DirectoryChanges &changes)
{
    const std::pair<const char *, const std::vector<UpstreamName> *> kinds[] = {
        { "added", &changes.added },
        { "leaving", &changes.leaving },
        { "removed", &changes.removed },
        { "restarted", &changes.restarted },
    };
    std::vector<Decision> decisions;
    for (const auto &[change, names] : kinds) {
        for (const UpstreamName &name : *names) {
            Decision decision { "upstream", {} };
            decision.fields.emplace_back("upstream", name.text());
            decision.fields.emplace_back("change", change);
            decisions.push_back(std::move(decision));
        }
    }
    return decisions;
}

Decision recordCarriedNotice(const UpstreamName &upstream)
{
    Decision decision { "upstream", {} };
    decision.fields.emplace_back("upstream", upstream.text());
    decision.fields.emplace_back("change", "notice_carried");
    return decision;
}

Decision recordNotice(const RelayRow &row, const UpstreamNotice &notice)
{
    Decision decision { "notice", {} };
    decision.fields.emplace_back("upstream", row.upstreamOf(notice.attempt).name.text());
    decision.fields.emplace_back("leaving", notice.leaving ? "true" : "false");
    decision.fields.emplace_back("pause_ms", milliseconds(notice.pause.value_or(Duration(0))));
    decision.fields.emplace_back("request", row.request.callerId);
    return decision;
}

Decision recordLimit(const LimitChange &change)
{
    const auto text = [](const std::optional<double> &rate) {
        return rate.has_value() ? std::to_string(*rate) : std::string("none");
    };
    Decision decision { "limit", {} };
    decision.fields.emplace_back("upstream", change.upstream.text());
    decision.fields.emplace_back("per_second", text(change.rate));
    decision.fields.emplace_back("before", text(change.before));
    decision.fields.emplace_back("age_ms", milliseconds(change.age));
    decision.fields.emplace_back("from", change.source.text());
    return decision;
}

Decision recordQuarantine(const QuarantineChange &change)
{
    constexpr int Hexadecimal = 16;
    constexpr std::size_t MaxDigits = 16;
    char digits[MaxDigits];
    const std::to_chars_result end = std::to_chars(digits, digits + MaxDigits, change.part, Hexadecimal);
    Decision decision { "quarantine", {} };
    decision.fields.emplace_back("part", std::string(digits, end.ptr));
    decision.fields.emplace_back("change", change.quarantined ? "added" : "released");
    decision.fields.emplace_back("crashes", std::to_string(change.crashes));
    return decision;
}

Decision recordProbe(const RelayProbeResult &result)
{
    Decision decision { "probe", {} };
    decision.fields.emplace_back("upstream", result.upstream.text());
    decision.fields.emplace_back("reached", result.reached ? "true" : "false");
    return decision;
}

Decision recordReject(const RelayRequest &request,
                      const Error &error,
                      const ConfigurationTracker &configuration,
                      TimePoint now)
{
    Decision decision { "reject", {} };
    decision.fields.emplace_back("request", request.callerId);
    decision.fields.emplace_back("code", std::string(resultCodeName(error.code)));
    decision.fields.emplace_back("config", std::to_string(configuration.version().value()));
    decision.fields.emplace_back("config_era", std::to_string(configuration.era()));
    const std::optional<Duration> age = configuration.age(now);
    decision.fields.emplace_back("config_age_ms", age.has_value() ? milliseconds(*age) : "none");
    return decision;
}

Decision recordDispatch(const RelayRow &row, const Placement &placement, TimePoint now)
{
    Decision decision = requestDecision("dispatch", row);
    decision.fields.emplace_back("upstream", placement.upstream.name.text());
    decision.fields.emplace_back("version", placement.version);
    if (!row.request.lastEventId.empty()) {
        decision.fields.emplace_back("resumes", row.request.resumedRequest);
    }
    decision.fields.emplace_back("load", std::to_string(static_cast<int>(placement.load)));
    decision.fields.emplace_back("load_age_ms",
                                 placement.loadAge.has_value() ? milliseconds(*placement.loadAge) : "none");
    decision.fields.emplace_back("by_prefix", placement.byPrefix ? "true" : "false");
    if (row.traits != nullptr && row.traits->engines) {
        decision.fields.emplace_back("unread", std::to_string(placement.unreadTokens));
    }
    if (placement.limit.has_value()) {
        decision.fields.emplace_back("limit", std::to_string(*placement.limit));
        decision.fields.emplace_back("limit_age_ms", milliseconds(placement.limitAge));
    }
    decision.fields.emplace_back("attempt", std::to_string(row.attempts));
    decision.fields.emplace_back("wait_ms", milliseconds(now - row.arrivedAt));
    return decision;
}

Decision recordTakeUp(const RelayRow &row, const LocatedStream &located)
{
    const StreamOrigin origin = located.origin.value_or(StreamOrigin {});
    Decision decision = requestDecision("take_up", row);
    decision.fields.emplace_back("resumes", row.request.resumedRequest);
    decision.fields.emplace_back("known", located.origin.has_value() ? "true" : "false");
    decision.fields.emplace_back("origin", origin.pool.text());
    decision.fields.emplace_back("version", origin.version);
    decision.fields.emplace_back("step", stepName(located.lastStep));
    decision.fields.emplace_back("silent_nodes", std::to_string(located.silentNodes));
    decision.fields.emplace_back("search_ms", milliseconds(located.duration));
    return decision;
}

Decision recordWait(const RelayRow &row, std::size_t ahead, double utilization)
{
    constexpr double Percent = 100.0;
    Decision decision = requestDecision("wait", row);
    decision.fields.emplace_back("ahead", std::to_string(ahead));
    decision.fields.emplace_back("fill_percent", std::to_string(static_cast<int>(utilization * Percent)));
    return decision;
}

Decision recordSilence(const RelayRow &row, TimePoint now)
{
    return silenceDecision("silence", row, now);
}

Decision recordRevival(const RelayRow &row, TimePoint now)
{
    return silenceDecision("revival", row, now);
}

Decision recordFailedAttempt(const RelayRow &row, TimePoint now)
{
    Decision decision = requestDecision("attempt_failed", row);
    decision.fields.emplace_back("upstream", row.upstream.name.text());
    decision.fields.emplace_back("code", std::string(resultCodeName(row.lastFailure)));
    decision.fields.emplace_back("attempt", std::to_string(row.attempts));
    decision.fields.emplace_back("after_ms", milliseconds(now - row.dispatchedAt));
    decision.fields.emplace_back("silent_ms", milliseconds(now - row.progressAt));
    addResponseFields(decision, row);
    return decision;
}

Decision recordFinish(const RelayRow &row, Outcome outcome, ResultCode code, TimePoint now)
{
    Decision decision = requestDecision("finish", row);
    decision.fields.emplace_back("outcome", std::string(outcomeName(outcome)));
    decision.fields.emplace_back("code", std::string(resultCodeName(code)));
    if (row.givenUpFor.has_value()) {
        decision.fields.emplace_back("reason", giveUpReasonName(*row.givenUpFor));
    }
    if (row.takesUpStream()) {
        decision.fields.emplace_back("resumes", row.request.resumedRequest);
    }
    decision.fields.emplace_back("upstream", row.upstream.name.text());
    decision.fields.emplace_back("attempts", std::to_string(row.attempts));
    decision.fields.emplace_back("first_ms", row.firstByte.has_value() ? milliseconds(*row.firstByte) : "none");
    decision.fields.emplace_back("total_ms", milliseconds(now - row.arrivedAt));
    if (row.route->streamed) {
        decision.fields.emplace_back("gap_ms", milliseconds(row.longestGap));
        decision.fields.emplace_back("late", row.beganLate() ? "first" : (row.hadLongGap() ? "gap" : "none"));
    }
    addResponseFields(decision, row);
    return decision;
}

} // namespace GeraniumLever
