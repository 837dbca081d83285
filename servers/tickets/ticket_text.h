/** The text formats of tickets and snapshots. */
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

/** The catalog after a given ticket, with the state needed to apply further tickets. */
struct ChainState
{
    /** Never null. */
    CatalogPtr catalog = std::make_shared<const Catalog>();
    LastChanges lastChanges;
    /** lastChanges no longer contains removals by this ticket and earlier ones. */
    TicketNumber removalsSince;
};

/** Returns the text of a ticket that creates the whole catalog, in which each entity also has the number of the ticket
 *  that last changed it. */
std::string snapshotText(const ChainState &state);

/** The inverse of snapshotText; std::nullopt if the text is not a snapshot. */
std::optional<ChainState> parseSnapshot(const std::string &text);

} // namespace GeraniumLever
