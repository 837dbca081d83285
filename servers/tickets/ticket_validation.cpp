#include <map>
#include <utility>

#include "servers/tickets/entity_fields.h"
#include "servers/tickets/ticket.h"
#include "servers/tickets/ticket_text.h"
#include "servers/yaml/yaml.h"

namespace GeraniumLever {

namespace {

/** Checks the catalog that a ticket leads to. */
class Validator
{
public:
    Validator(const Ticket &ticket, const Catalog &before)
        : ticket_(ticket), before_(before), after_(before.withChanges(ticket.changes, ticket.number))
    {
    }

    std::vector<Fault> run()
    {
        for (const EntityChange &change : ticket_.changes) {
            std::visit([this](const auto &entity) { check(entity); }, change);
        }
        checkTeams();
        checkPools();
        checkUpstreams();
        return std::move(faults_);
    }

private:
    void note(EntityKind kind, const std::string &name, const std::string &message)
    {
        faults_.push_back(Fault { 0, entityLabel(kind, name) + ": " + message });
    }

    void check(const RequestClass &entity)
    {
        constexpr std::uint32_t Whole = 1000;
        const std::string &name = entity.name.text();
        if (entity.firstTokenTarget <= Duration::zero()) {
            note(EntityKind::RequestClass, name, "first_token_target_ms must be above 0");
        }
        if (entity.tokenGapTarget <= Duration::zero()) {
            note(EntityKind::RequestClass, name, "token_gap_target_ms must be above 0");
        }
        if (entity.defaultDeadline <= Duration::zero()) {
            note(EntityKind::RequestClass, name, "default_deadline_ms must be above 0");
        }
        if (entity.guaranteedPerMille > Whole) {
            note(EntityKind::RequestClass, name, "guaranteed_per_mille must not be above 1000");
        }
        if (entity.preemptible && !entity.idempotent) {
            note(EntityKind::RequestClass, name, "preemptible needs idempotent: true");
        }
    }

    void check(const Team &entity)
    {
        if (entity.weight == 0) {
            note(EntityKind::Team, entity.name.text(), "weight must be above 0");
        }
        for (const std::string &hash : entity.keyHashes) {
            if (!isSha256Hex(hash)) {
                note(
                    EntityKind::Team, entity.name.text(), "key_hashes must hold 64 lower-case hexadecimal digits each");
            }
        }
    }

    void check(const Model &) { }

    void check(const Pool &entity)
    {
        if (entity.model.empty() == entity.service.empty()) {
            note(EntityKind::Pool, entity.name.text(), "needs either a model or a service");
        }
        if (entity.maxLoading == 0) {
            note(EntityKind::Pool, entity.name.text(), "max_loading must be above 0");
        }
    }

    void check(const Upstream &entity)
    {
        if (!isName(entity.dataCenter.text())) {
            note(EntityKind::Upstream, entity.name.text(), "data_center must be a name");
        }
        if (!isSocketAddress(entity.address)) {
            note(EntityKind::Upstream, entity.name.text(), "address must have the form a.b.c.d:port");
        }
        if (entity.seats == 0) {
            note(EntityKind::Upstream, entity.name.text(), "seats must be above 0");
        }
    }

    void check(const Removal &removal)
    {
        if (!findEntity(before_, removal.kind, removal.name).has_value()) {
            note(removal.kind, removal.name, "cannot be removed, since there is none of this name");
        }
    }

    void checkTeams()
    {
        std::map<std::string, TeamName> owners;
        for (const auto &[name, team] : after_.teams()) {
            for (const ClassName &className : team.classes) {
                if (!after_.classes().contains(className)) {
                    note(EntityKind::Team, name.text(), "names the unknown class " + className.text());
                }
            }
            for (const std::string &hash : team.keyHashes) {
                const auto &[owner, inserted] = owners.emplace(hash, name);
                if (!inserted) {
                    note(EntityKind::Team, name.text(), "has a key that also belongs to team " + owner->second.text());
                }
            }
        }
    }

    void checkPools()
    {
        std::map<std::string, PoolName> served;
        for (const auto &[name, pool] : after_.pools()) {
            if (!pool.model.empty() && !after_.models().contains(pool.model)) {
                note(EntityKind::Pool, name.text(), "serves the unknown model " + pool.model.text());
            }
            const std::string what = pool.model.empty() ? "service " + pool.service : "model " + pool.model.text();
            const auto &[owner, inserted] = served.emplace(what, name);
            if (!inserted) {
                note(EntityKind::Pool, name.text(), "serves " + what + " as pool " + owner->second.text() + " does");
            }
        }
    }

    void checkUpstreams()
    {
        std::map<std::pair<PoolName, std::string>, UpstreamName> addresses;
        for (const auto &[name, upstream] : after_.upstreams()) {
            if (!after_.pools().contains(upstream.pool)) {
                note(EntityKind::Upstream, name.text(), "belongs to the unknown pool " + upstream.pool.text());
            }
            const auto &[owner, inserted] = addresses.emplace(std::pair(upstream.pool, upstream.address), name);
            if (!inserted) {
                note(EntityKind::Upstream, name.text(), "has the pool and address of upstream " + owner->second.text());
            }
        }
    }

    const Ticket &ticket_;
    const Catalog &before_;
    Catalog after_;
    std::vector<Fault> faults_;
};

} // namespace

std::vector<Fault> validateTicket(const Ticket &ticket, const Catalog &catalog)
{
    return Validator(ticket, catalog).run();
}

} // namespace GeraniumLever
