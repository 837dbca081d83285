/** The text forms of tickets and of snapshots. */
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/core.h"
#include "servers/tickets/ticket.h"

namespace GeraniumLever {

/** Identifies an entity of any kind. */
using EntityKey = std::pair<EntityKind, std::string>;

EntityKey keyOf(const EntityChange &change);

/** For each entity, the number of the ticket that last changed or removed it. */
using LastChanges = std::map<EntityKey, TicketNumber>;

/** A catalog as of one ticket, with all that is needed to go on from there. */
struct ChainState
{
    /** Never null. */
    CatalogPtr catalog = std::make_shared<const Catalog>();
    LastChanges lastChanges;
    /** Removals by this ticket and earlier ones are no longer part of lastChanges. */
    TicketNumber removalsSince;
};

/** The text of a ticket that creates the whole catalog; each entity also carries the ticket that changed it. */
std::string snapshotText(const ChainState &state);

/** The inverse; nothing if the text is no snapshot. */
std::optional<ChainState> parseSnapshot(const std::string &text);

} // namespace GeraniumLever
