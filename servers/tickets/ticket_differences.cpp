#include "servers/tickets/entity_fields.h"
#include "servers/tickets/ticket.h"

namespace GeraniumLever {

namespace {

void appendEntity(const std::string &sign,
                  const std::string &label,
                  const EntityChange &entity,
                  std::vector<std::string> &lines)
{
    lines.push_back(sign + " " + label);
    for (const auto &[key, value] : fieldTexts(entity)) {
        lines.push_back(sign + "   " + key + ": " + value);
    }
}

void appendChangedFields(const std::string &label,
                         const EntityChange &before,
                         const EntityChange &after,
                         std::vector<std::string> &lines)
{
    const std::vector<FieldText> oldFields = fieldTexts(before);
    const std::vector<FieldText> newFields = fieldTexts(after);
    for (std::size_t index = 0; index < newFields.size(); ++index) {
        if (oldFields[index] != newFields[index]) {
            lines.push_back("~ " + label + " " + newFields[index].first + ": " + oldFields[index].second + " -> "
                            + newFields[index].second);
        }
    }
}

} // namespace

std::vector<std::string> differences(const Ticket &ticket, const Catalog &catalog)
{
    std::vector<std::string> lines;
    for (const EntityChange &change : ticket.changes) {
        const std::string label = entityLabel(kindOf(change), nameOf(change));
        const std::optional<EntityChange> before = findEntity(catalog, kindOf(change), nameOf(change));
        if (std::holds_alternative<Removal>(change)) {
            if (before.has_value()) {
                appendEntity("-", label, *before, lines);
            }
        } else if (before.has_value()) {
            appendChangedFields(label, *before, change, lines);
        } else {
            appendEntity("+", label, change, lines);
        }
    }
    return lines;
}

} // namespace GeraniumLever
