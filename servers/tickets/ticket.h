/** Change tickets and their text format. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** A numbered change. It contains the complete new state of each entity that it changes. */
struct Ticket
{
    TicketNumber number;
    std::string author;
    /** The head that the author's edit is based on; it is a conflict if one of the entities has changed since. */
    std::optional<TicketNumber> basedOn;
    std::vector<EntityChange> changes;

    bool operator==(const Ticket &) const = default;
};

/** Returns the ticket or all faults of its text. Accepts YAML and therefore also JSON, which is a subset of YAML. */
std::variant<Ticket, std::vector<Fault>> parseTicket(const std::string &text);

/** Returns all faults of the ticket in the context of the catalog that it would change, for example an upstream of an
 *  unknown pool. */
std::vector<Fault> validateTicket(const Ticket &ticket, const Catalog &catalog);

/** Returns a text that is identical for equal tickets. */
std::string canonicalText(const Ticket &ticket);

/** Returns a line for each entity that the ticket would add (+) or remove (-) with a line for each of its fields, and a
 *  line for each field that the ticket would change (~). */
std::vector<std::string> differences(const Ticket &ticket, const Catalog &catalog);

/** The inverse of canonicalText(ticketOfCatalog(catalog)), also for an empty catalog; std::nullopt for other texts. */
std::optional<Catalog> parseCatalog(const std::string &text);

/** Returns a single ticket that creates all entities of the catalog, for snapshots. */
Ticket ticketOfCatalog(const Catalog &catalog);

} // namespace GeraniumLever
