#include "servers/tickets/entity_fields.h"

#include <algorithm>
#include <cstdio>
#include <tuple>

namespace GeraniumLever {

namespace {

/** Describes one field of an entity: its name in texts and the member that holds its value. */
template<typename Entity, typename Value>
struct FieldDescriptor
{
    const char *key;
    Value Entity::*member;
};

template<typename Entity, typename Value>
constexpr FieldDescriptor<Entity, Value> field(const char *key, Value Entity::*member)
{
    return FieldDescriptor<Entity, Value> { key, member };
}

constexpr std::tuple ClassFields {
    field("tier", &RequestClass::tier),
    field("idempotent", &RequestClass::idempotent),
    field("first_token_target_ms", &RequestClass::firstTokenTarget),
    field("token_gap_target_ms", &RequestClass::tokenGapTarget),
    field("default_deadline_ms", &RequestClass::defaultDeadline),
    field("guaranteed_per_mille", &RequestClass::guaranteedPerMille),
    field("preemptible", &RequestClass::preemptible),
};
constexpr std::tuple TeamFields {
    field("weight", &Team::weight),
    field("max_in_flight", &Team::maxInFlight),
    field("key_hashes", &Team::keyHashes),
    field("classes", &Team::classes),
};
constexpr std::tuple ModelFields {
    field("version", &Model::version),
    field("adapter", &Model::adapter),
};
constexpr std::tuple PoolFields {
    field("model", &Pool::model),
    field("service", &Pool::service),
    field("minimum_ready", &Pool::minimumReady),
    field("max_loading", &Pool::maxLoading),
};
constexpr std::tuple UpstreamFields {
    field("pool", &Upstream::pool),
    field("data_center", &Upstream::dataCenter),
    field("address", &Upstream::address),
    field("seats", &Upstream::seats),
    field("checks_fence", &Upstream::checksFence),
    field("leaving", &Upstream::leaving),
    field("role", &Upstream::role),
};

std::string textOf(bool value)
{
    return value ? "true" : "false";
}

std::string textOf(std::uint32_t value)
{
    return std::to_string(value);
}

std::string textOf(Duration value)
{
    return std::to_string(toMilliseconds(value));
}

std::string textOf(const std::string &value)
{
    return quoted(value);
}

template<typename Tag>
std::string textOf(const Name<Tag> &value)
{
    return quoted(value.text());
}

template<typename Element>
std::string textOf(const std::vector<Element> &values)
{
    std::string text = "[";
    for (const Element &value : values) {
        text += (text.size() > 1 ? ", " : "") + textOf(value);
    }
    return text + "]";
}

template<typename Entity, typename Fields>
std::vector<FieldText> describe(const Entity &entity, const Fields &fields)
{
    std::vector<FieldText> texts;
    std::apply([&](const auto &...row) { (texts.emplace_back(row.key, textOf(entity.*(row.member))), ...); }, fields);
    return texts;
}

template<typename Entity, typename Fields>
Entity readFields(const std::string &name, const Fields &fields, FieldReader &reader)
{
    Entity entity;
    entity.name = decltype(entity.name)(name);
    std::apply([&](const auto &...row) { (reader.read(row.key, entity.*(row.member)), ...); }, fields);
    return entity;
}

template<typename Key, typename Row>
std::optional<EntityChange> findRow(const Table<Key, Row> &table, const std::string &name)
{
    const Row *row = table.find(Key(name));
    return row == nullptr ? std::nullopt : std::optional<EntityChange>(*row);
}

template<typename Key, typename Row>
void appendRows(const Table<Key, Row> &table, std::vector<EntityChange> &changes)
{
    for (const auto &[key, row] : table) {
        changes.emplace_back(row);
    }
}

constexpr std::pair<EntityKind, std::string_view> KindNames[] = {
    { EntityKind::RequestClass, "class" }, { EntityKind::Team, "team" },         { EntityKind::Model, "model" },
    { EntityKind::Pool, "pool" },          { EntityKind::Upstream, "upstream" },
};

} // namespace

std::string_view entityKindName(EntityKind kind)
{
    return KindNames[static_cast<std::size_t>(kind)].second;
}

std::optional<EntityKind> parseEntityKind(std::string_view name)
{
    for (const auto &[kind, kindName] : KindNames) {
        if (kindName == name) {
            return kind;
        }
    }
    return std::nullopt;
}

std::string entityLabel(EntityKind kind, const std::string &name)
{
    return std::string(entityKindName(kind)) + " " + name;
}

std::vector<FieldText> fieldTexts(const EntityChange &change)
{
    struct Visitor
    {
        std::vector<FieldText> operator()(const RequestClass &entity) const { return describe(entity, ClassFields); }
        std::vector<FieldText> operator()(const Team &entity) const { return describe(entity, TeamFields); }
        std::vector<FieldText> operator()(const Model &entity) const { return describe(entity, ModelFields); }
        std::vector<FieldText> operator()(const Pool &entity) const { return describe(entity, PoolFields); }
        std::vector<FieldText> operator()(const Upstream &entity) const { return describe(entity, UpstreamFields); }
        std::vector<FieldText> operator()(const Removal &) const { return {}; }
    };
    return std::visit(Visitor {}, change);
}

EntityChange readEntity(EntityKind kind, const std::string &name, FieldReader &reader)
{
    switch (kind) {
    case EntityKind::RequestClass:
        return readFields<RequestClass>(name, ClassFields, reader);
    case EntityKind::Team:
        return readFields<Team>(name, TeamFields, reader);
    case EntityKind::Model:
        return readFields<Model>(name, ModelFields, reader);
    case EntityKind::Pool:
        return readFields<Pool>(name, PoolFields, reader);
    case EntityKind::Upstream:
        return readFields<Upstream>(name, UpstreamFields, reader);
    }
    return Removal { kind, name };
}

std::optional<EntityChange> findEntity(const Catalog &catalog, EntityKind kind, const std::string &name)
{
    switch (kind) {
    case EntityKind::RequestClass:
        return findRow(catalog.classes(), name);
    case EntityKind::Team:
        return findRow(catalog.teams(), name);
    case EntityKind::Model:
        return findRow(catalog.models(), name);
    case EntityKind::Pool:
        return findRow(catalog.pools(), name);
    case EntityKind::Upstream:
        return findRow(catalog.upstreams(), name);
    }
    return std::nullopt;
}

std::vector<EntityChange> entitiesOf(const Catalog &catalog)
{
    std::vector<EntityChange> changes;
    appendRows(catalog.classes(), changes);
    appendRows(catalog.teams(), changes);
    appendRows(catalog.models(), changes);
    appendRows(catalog.pools(), changes);
    appendRows(catalog.upstreams(), changes);
    return changes;
}

std::string quoted(const std::string &text)
{
    std::string result = "\"";
    for (const char character : text) {
        if (character == '"' || character == '\\') {
            result += '\\';
            result += character;
        } else if (static_cast<unsigned char>(character) < ' ') {
            char escape[8];
            std::snprintf(escape, sizeof escape, "\\x%02x", static_cast<unsigned>(character));
            result += escape;
        } else {
            result += character;
        }
    }
    return result + "\"";
}

} // namespace GeraniumLever
