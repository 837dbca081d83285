/** Reads, writes and compares the fields of entities by name. */
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/core.h"
#include "servers/yaml/yaml.h"

namespace GeraniumLever {

/** "class", "team", "model", "pool" or "upstream". */
std::string_view entityKindName(EntityKind kind);

/** The inverse of entityKindName; std::nullopt if the text is not the name of a kind. */
std::optional<EntityKind> parseEntityKind(std::string_view name);

/** Returns a label for messages, for example "upstream gpu-1". */
std::string entityLabel(EntityKind kind, const std::string &name);

/** A field's name and its value in YAML flow style. */
using FieldText = std::pair<std::string, std::string>;

/** Returns all fields of an entity except its kind and name, in a fixed order; none for a removal. */
std::vector<FieldText> fieldTexts(const EntityChange &change);

/** Reads the fields of one entity. Absent fields keep their defaults. */
EntityChange readEntity(EntityKind kind, const std::string &name, FieldReader &reader);

/** Returns the current state of the entity in the catalog; std::nullopt if it does not exist. */
std::optional<EntityChange> findEntity(const Catalog &catalog, EntityKind kind, const std::string &name);

/** Returns all entities of the catalog, ordered by kind and name. */
std::vector<EntityChange> entitiesOf(const Catalog &catalog);

/** Returns the text in double quotes, with the escapes that YAML requires. */
std::string quoted(const std::string &text);

} // namespace GeraniumLever
