/** The fields of each kind of entity by name, for reading, writing and comparing them. */
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

/** The inverse; nothing if the text names no kind. */
std::optional<EntityKind> parseEntityKind(std::string_view name);

/** "upstream gpu-1", for messages. */
std::string entityLabel(EntityKind kind, const std::string &name);

/** A field's name and its value in YAML flow style. */
using FieldText = std::pair<std::string, std::string>;

/** All fields of an entity but its kind and name, in their fixed order; none for a removal. */
std::vector<FieldText> fieldTexts(const EntityChange &change);

/** Reads the fields of one entity. Fields that are absent keep their default. */
EntityChange readEntity(EntityKind kind, const std::string &name, FieldReader &reader);

/** The entity's present state in the catalog; nothing if it is absent. */
std::optional<EntityChange> findEntity(const Catalog &catalog, EntityKind kind, const std::string &name);

/** Every entity of the catalog by kind and name. */
std::vector<EntityChange> entitiesOf(const Catalog &catalog);

/** A text in double quotes, with everything escaped that YAML would read otherwise. */
std::string quoted(const std::string &text);

} // namespace GeraniumLever
