#include <map>
#include <utility>

#include "servers/tickets/entity_fields.h"
#include "servers/tickets/ticket.h"
#include "servers/tickets/ticket_text.h"
#include "servers/yaml/yaml.h"

namespace GeraniumLever {

namespace {

/** Checks a ticket and the catalog that results from it. */
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
    void addFault(EntityKind kind, const std::string &name, const std::string &message)
    {
        faults_.push_back(Fault { 0, entityLabel(kind, name) + ": " + message });
    }

    void check(const RequestClass &entity)
    {
        constexpr std::uint32_t MaxPerMille = 1000;
        const std::string &name = entity.name.text();
        if (entity.firstTokenTarget <= Duration::zero()) {
            addFault(EntityKind::RequestClass, name, "first_token_target_ms must be above 0");
        }
        if (entity.tokenGapTarget <= Duration::zero()) {
            addFault(EntityKind::RequestClass, name, "token_gap_target_ms must be above 0");
        }
        if (entity.defaultDeadline <= Duration::zero()) {
            addFault(EntityKind::RequestClass, name, "default_deadline_ms must be above 0");
        }
        if (entity.guaranteedPerMille > MaxPerMille) {
            addFault(EntityKind::RequestClass, name, "guaranteed_per_mille must not be above 1000");
        }
        if (entity.preemptible && !entity.idempotent) {
            addFault(EntityKind::RequestClass, name, "preemptible needs idempotent: true");
        }
    }

    void check(const Team &entity)
    {
        if (entity.weight == 0) {
            addFault(EntityKind::Team, entity.name.text(), "weight must be above 0");
        }
        for (const std::string &hash : entity.keyHashes) {
            if (!isSha256Hex(hash)) {
                addFault(
                    EntityKind::Team, entity.name.text(), "key_hashes must hold 64 lower-case hexadecimal digits each");
            }
        }
    }

    void check(const Model &) { }

    void check(const Pool &entity)
    {
        if (entity.model.empty() == entity.service.empty()) {
            addFault(EntityKind::Pool, entity.name.text(), "needs either a model or a service");
        }
        if (entity.maxLoading == 0) {
            addFault(EntityKind::Pool, entity.name.text(), "max_loading must be above 0");
        }
    }

    void check(const Upstream &entity)
    {
        if (!isName(entity.dataCenter.text())) {
            addFault(EntityKind::Upstream, entity.name.text(), "data_center must be a name");
        }
        if (!isSocketAddress(entity.address)) {
            addFault(EntityKind::Upstream, entity.name.text(), "address must have the form a.b.c.d:port");
        }
        if (entity.seats == 0) {
            addFault(EntityKind::Upstream, entity.name.text(), "seats must be above 0");
        }
    }

    void check(const Removal &removal)
    {
        if (!findEntity(before_, removal.kind, removal.name).has_value()) {
            addFault(removal.kind, removal.name, "cannot be removed, since there is none of this name");
        }
    }

    void checkTeams()
    {
        std::map<std::string, TeamName> teamsByKeyHash;
        for (const auto &[name, team] : after_.teams()) {
            for (const ClassName &className : team.classes) {
                if (!after_.classes().contains(className)) {
                    addFault(EntityKind::Team, name.text(), "names the unknown class " + className.text());
                }
            }
            for (const std::string &hash : team.keyHashes) {
                const auto &[owner, inserted] = teamsByKeyHash.emplace(hash, name);
                if (!inserted) {
                    addFault(
                        EntityKind::Team, name.text(), "has a key that also belongs to team " + owner->second.text());
                }
            }
        }
    }

    void checkPools()
    {
        std::map<std::string, PoolName> poolsByTarget;
        for (const auto &[name, pool] : after_.pools()) {
            if (!pool.model.empty() && !after_.models().contains(pool.model)) {
                addFault(EntityKind::Pool, name.text(), "serves the unknown model " + pool.model.text());
            }
            const std::string target = pool.model.empty() ? "service " + pool.service : "model " + pool.model.text();
            const auto &[owner, inserted] = poolsByTarget.emplace(target, name);
            if (!inserted) {
                addFault(EntityKind::Pool,
                         name.text(),
                         "serves " + target + ", which pool " + owner->second.text() + " also serves");
            }
        }
    }

    void checkUpstreams()
    {
        std::map<std::pair<PoolName, std::string>, UpstreamName> upstreamsByAddress;
        for (const auto &[name, upstream] : after_.upstreams()) {
            if (!after_.pools().contains(upstream.pool)) {
                addFault(EntityKind::Upstream, name.text(), "belongs to the unknown pool " + upstream.pool.text());
            }
            const auto &[owner, inserted] =
                upstreamsByAddress.emplace(std::pair(upstream.pool, upstream.address), name);
            if (!inserted) {
                addFault(EntityKind::Upstream,
                         name.text(),
                         "has the same pool and address as upstream " + owner->second.text());
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
