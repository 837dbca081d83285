/** A change ticket and its text form. */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/core.h"

namespace GeraniumLever {

/** A numbered change: the whole new state of each entity that it touches. */
struct Ticket
{
    TicketNumber number;
    std::string author;
    /** The head that the author had seen; a touched entity that changed later makes a conflict. */
    std::optional<TicketNumber> basedOn;
    std::vector<EntityChange> changes;

    bool operator==(const Ticket &) const = default;
};

/** Either the ticket or every fault of its text. Accepts YAML and, as YAML contains it, JSON. */
std::variant<Ticket, std::vector<Fault>> parseTicket(const std::string &text);

/** Every fault of the ticket against the catalog that it would change, for example an upstream of an unknown pool. */
std::vector<Fault> validateTicket(const Ticket &ticket, const Catalog &catalog);

/** The same text for equal tickets. */
std::string canonicalText(const Ticket &ticket);

/** One line for each entity that the ticket would add (+) or remove (-), and for each field that it would change (~).
 */
std::vector<std::string> differences(const Ticket &ticket, const Catalog &catalog);

/** The inverse of canonicalText(ticketOfCatalog(catalog)), also for an empty catalog; nothing for other texts. */
std::optional<Catalog> parseCatalog(const std::string &text);

/** One ticket that creates every entity of the catalog, for snapshots. */
Ticket ticketOfCatalog(const Catalog &catalog);

} // namespace GeraniumLever
