#include "servers/relay/relay_records.h"

#include <utility>

namespace GeraniumLever {

namespace {

Decision decide(std::string kind, const RelayRow &row)
{
    Decision decision { std::move(kind), {} };
    addField(decision, "request", row.request.callerId);
    addField(decision, "route", row.route->name);
    addField(decision, "team", row.team.text());
    addField(decision, "tier", std::to_string(row.tier));
    addField(decision, "pool", row.pool.text());
    addField(decision, "config", std::to_string(row.table->configuration().version.value()));
    return decision;
}

std::string milliseconds(Duration duration)
{
    return std::to_string(toMilliseconds(duration));
}

} // namespace

Decision recordConfiguration(const SiteConfiguration &configuration, ConfigurationVersion before)
{
    Decision decision { "configuration", {} };
    addField(decision, "version", std::to_string(configuration.version.value()));
    addField(decision, "before", std::to_string(before.value()));
    addField(decision, "routes", std::to_string(configuration.routes.size()));
    addField(decision, "teams", std::to_string(configuration.teams.size()));
    return decision;
}

std::vector<Decision> recordChanges(const DirectoryChanges &changes)
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
            addField(decision, "upstream", name.text());
            addField(decision, "change", change);
            decisions.push_back(std::move(decision));
        }
    }
    return decisions;
}

Decision recordProbe(const RelayProbed &result)
{
    Decision decision { "probe", {} };
    addField(decision, "upstream", result.upstream.text());
    addField(decision, "reached", result.reached ? "true" : "false");
    return decision;
}

Decision recordReject(const RelayRequest &request,
                      const Error &error,
                      const ConfigurationKeeper &configuration,
                      TimePoint now)
{
    Decision decision { "reject", {} };
    addField(decision, "request", request.callerId);
    addField(decision, "code", std::string(resultCodeName(error.code)));
    addField(decision, "config", std::to_string(configuration.version().value()));
    const std::optional<Duration> age = configuration.age(now);
    addField(decision, "config_age_ms", age.has_value() ? milliseconds(*age) : "none");
    return decision;
}

Decision recordDispatch(const RelayRow &row, const Placement &placement, TimePoint now)
{
    Decision decision = decide("dispatch", row);
    addField(decision, "upstream", placement.upstream.text());
    addField(decision, "load", std::to_string(static_cast<int>(placement.load)));
    addField(decision, "by_prefix", placement.byPrefix ? "true" : "false");
    addField(decision, "attempt", std::to_string(row.attempts));
    addField(decision, "wait_ms", milliseconds(now - row.arrivedAt));
    return decision;
}

Decision recordWait(const RelayRow &row, std::size_t ahead, double fill)
{
    constexpr double Percent = 100.0;
    Decision decision = decide("wait", row);
    addField(decision, "ahead", std::to_string(ahead));
    addField(decision, "fill_percent", std::to_string(static_cast<int>(fill * Percent)));
    return decision;
}

Decision recordFailedAttempt(const RelayRow &row, TimePoint now)
{
    Decision decision = decide("attempt_failed", row);
    addField(decision, "upstream", row.upstream.text());
    addField(decision, "code", std::string(resultCodeName(row.cause)));
    addField(decision, "attempt", std::to_string(row.attempts));
    addField(decision, "after_ms", milliseconds(now - row.dispatchedAt));
    return decision;
}

Decision recordFinish(const RelayRow &row, Outcome outcome, ResultCode code, TimePoint now)
{
    Decision decision = decide("finish", row);
    addField(decision, "outcome", std::string(outcomeName(outcome)));
    addField(decision, "code", std::string(resultCodeName(code)));
    addField(decision, "upstream", row.upstream.text());
    addField(decision, "attempts", std::to_string(row.attempts));
    addField(decision, "first_ms", row.firstByte.has_value() ? milliseconds(*row.firstByte) : "none");
    addField(decision, "total_ms", milliseconds(now - row.arrivedAt));
    return decision;
}

} // namespace GeraniumLever
