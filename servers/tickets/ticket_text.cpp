#include "servers/tickets/ticket_text.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

#include "servers/tickets/entity_fields.h"
#include "servers/yaml/yaml.h"

namespace GeraniumLever {

namespace {

constexpr std::size_t MaxAuthorBytes = 256;
constexpr const char *ChangedBy = "changed_by";
constexpr const char *RemovalsSince = "removals_since";

/** The content of a text. The members after `ticket` are set only for snapshots. */
struct Document
{
    Ticket ticket;
    std::vector<TicketNumber> changedBy;
    TicketNumber removalsSince;
};

bool lessByKey(const EntityChange &left, const EntityChange &right)
{
    return keyOf(left) < keyOf(right);
}

void appendChange(const EntityChange &change, std::optional<TicketNumber> changedBy, std::string &text)
{
    text += "  - kind: " + std::string(entityKindName(kindOf(change))) + "\n";
    text += "    name: " + quoted(nameOf(change)) + "\n";
    if (std::holds_alternative<Removal>(change)) {
        text += "    absent: true\n";
    }
    for (const auto &[key, value] : fieldTexts(change)) {
        text += "    " + key + ": " + value + "\n";
    }
    if (changedBy.has_value()) {
        text += std::string("    ") + ChangedBy + ": " + std::to_string(changedBy->value()) + "\n";
    }
}

/** Reads a ticket, or a snapshot with its additional fields. */
class DocumentReader
{
public:
    DocumentReader(bool snapshot, std::vector<Fault> &faults) : snapshot_(snapshot), faults_(faults) { }

    Document read(const YAML::Node &root)
    {
        FieldReader reader(root, "ticket", faults_);
        if (!reader.isMap()) {
            faults_.push_back(Fault { 0, "ticket: must be a mapping" });
            return std::move(document_);
        }
        readHeader(reader);
        readChanges(reader);
        reader.finish();
        return std::move(document_);
    }

private:
    void readHeader(FieldReader &reader)
    {
        std::uint64_t number = 0;
        reader.require("number");
        reader.read("number", number);
        document_.ticket.number = TicketNumber(number);
        if (reader.has("number") && number == 0 && !snapshot_) {
            reader.fault("number", "must be above 0");
        }
        reader.require("author");
        reader.read("author", document_.ticket.author);
        const std::size_t authorBytes = document_.ticket.author.size();
        if (reader.has("author") && (authorBytes == 0 || authorBytes > MaxAuthorBytes)) {
            reader.fault("author", "must have 1 to " + std::to_string(MaxAuthorBytes) + " bytes");
        }
        readBasedOn(reader, number);
        if (snapshot_) {
            std::uint64_t since = 0;
            reader.read(RemovalsSince, since);
            document_.removalsSince = TicketNumber(since);
        }
    }

    void readBasedOn(FieldReader &reader, std::uint64_t number)
    {
        if (!reader.has("based_on")) {
            return;
        }
        std::uint64_t basedOn = 0;
        reader.read("based_on", basedOn);
        document_.ticket.basedOn = TicketNumber(basedOn);
        if (basedOn >= number) {
            reader.fault("based_on", "must be below number");
        }
    }

    void readChanges(FieldReader &reader)
    {
        const YAML::Node changes = reader.child("changes");
        if (!snapshot_ && (!changes.IsDefined() || !changes.IsSequence() || changes.size() == 0)) {
            reader.fault("changes", "must be a list of at least one change");
            return;
        }
        if (!changes.IsDefined() || !changes.IsSequence()) {
            return;
        }
        std::set<EntityKey> seen;
        std::size_t position = 0;
        for (const YAML::Node &node : changes) {
            ++position;
            const std::optional<EntityChange> change = readChange(node, position);
            if (!change.has_value()) {
                continue;
            }
            if (!seen.insert(keyOf(*change)).second) {
                faults_.push_back(
                    Fault { lineOf(node), entityLabel(kindOf(*change), nameOf(*change)) + ": is changed twice" });
            }
            document_.ticket.changes.push_back(*change);
        }
    }

    std::optional<EntityChange> readChange(const YAML::Node &node, std::size_t position)
    {
        const std::string place = "change " + std::to_string(position);
        FieldReader head(node, place, faults_);
        if (!head.isMap()) {
            faults_.push_back(Fault { lineOf(node), place + ": must be a mapping" });
            return std::nullopt;
        }
        std::string kindText;
        std::string name;
        head.require("kind");
        head.read("kind", kindText);
        head.require("name");
        head.read("name", name);
        const std::optional<EntityKind> kind = parseEntityKind(kindText);
        if (head.has("kind") && !kind.has_value()) {
            head.fault("kind", "must be class, team, model, pool or upstream");
        }
        if (head.has("name") && !isName(name)) {
            head.fault("name", "must be 1 to 128 letters, digits and . _ - : /");
        }
        return kind.has_value() ? std::optional<EntityChange>(readFields(node, *kind, name)) : std::nullopt;
    }

    EntityChange readFields(const YAML::Node &node, EntityKind kind, const std::string &name)
    {
        FieldReader reader(node, entityLabel(kind, name), faults_);
        reader.child("kind");
        reader.child("name");
        bool absent = false;
        reader.read("absent", absent);
        if (snapshot_) {
            std::uint64_t changedBy = 0;
            reader.read(ChangedBy, changedBy);
            document_.changedBy.emplace_back(changedBy);
        }
        EntityChange change = Removal { kind, name };
        if (!absent) {
            change = readEntity(kind, name, reader);
        }
        reader.finish();
        return change;
    }

    bool snapshot_;
    std::vector<Fault> &faults_;
    Document document_;
};

/** A whole catalog is parsed in parts, since the YAML tree needs many times the memory of the text. */
constexpr std::size_t PartBytes = 64 * 1024;
constexpr std::string_view ListStart = "changes:\n";
constexpr std::string_view ChangeStart = "  - kind:";

/** The end of the part that begins at `begin`: the start of a change, or the end of the text. */
std::size_t partEnd(const std::string &text, std::size_t begin)
{
    // Quoted texts contain no line breaks, so this finds only starts of changes.
    const std::size_t next = text.find("\n" + std::string(ChangeStart), begin + PartBytes);
    return next == std::string::npos ? text.size() : next + 1;
}

bool appendPart(const std::string &text, Document &document)
{
    const YamlResult parsed = parseYaml(text);
    if (std::holds_alternative<Fault>(parsed)) {
        return false;
    }
    std::vector<Fault> faults;
    Document part = DocumentReader(true, faults).read(std::get<YAML::Node>(parsed));
    std::vector<EntityChange> changes = std::move(document.ticket.changes);
    std::move(part.ticket.changes.begin(), part.ticket.changes.end(), std::back_inserter(changes));
    document.ticket = std::move(part.ticket);
    document.ticket.changes = std::move(changes);
    document.removalsSince = part.removalsSince;
    document.changedBy.insert(document.changedBy.end(), part.changedBy.begin(), part.changedBy.end());
    return faults.empty();
}

std::optional<Document> readInParts(const std::string &text)
{
    Document document;
    const std::size_t list = text.find(ListStart);
    if (list == std::string::npos) {
        return appendPart(text, document) ? std::optional<Document>(std::move(document)) : std::nullopt;
    }
    const std::string header = text.substr(0, list + ListStart.size());
    for (std::size_t begin = header.size(); begin < text.size(); begin = partEnd(text, begin)) {
        if (!appendPart(header + text.substr(begin, partEnd(text, begin) - begin), document)) {
            return std::nullopt;
        }
    }
    return document;
}

} // namespace

EntityKey keyOf(const EntityChange &change)
{
    return EntityKey(kindOf(change), nameOf(change));
}

std::variant<Ticket, std::vector<Fault>> parseTicket(const std::string &text)
{
    const YamlResult parsed = parseYaml(text);
    if (const Fault *fault = std::get_if<Fault>(&parsed)) {
        return std::vector<Fault> { *fault };
    }
    std::vector<Fault> faults;
    Ticket ticket = DocumentReader(false, faults).read(std::get<YAML::Node>(parsed)).ticket;
    if (!faults.empty()) {
        std::stable_sort(faults.begin(), faults.end(), [](const Fault &a, const Fault &b) { return a.line < b.line; });
        return faults;
    }
    std::sort(ticket.changes.begin(), ticket.changes.end(), lessByKey);
    return ticket;
}

std::string canonicalText(const Ticket &ticket)
{
    std::string text = "number: " + std::to_string(ticket.number.value()) + "\n";
    text += "author: " + quoted(ticket.author) + "\n";
    if (ticket.basedOn.has_value()) {
        text += "based_on: " + std::to_string(ticket.basedOn->value()) + "\n";
    }
    text += ticket.changes.empty() ? "changes: []\n" : "changes:\n";
    std::vector<EntityChange> changes = ticket.changes;
    std::sort(changes.begin(), changes.end(), lessByKey);
    for (const EntityChange &change : changes) {
        appendChange(change, std::nullopt, text);
    }
    return text;
}

Ticket ticketOfCatalog(const Catalog &catalog)
{
    return Ticket { catalog.head(), "snapshot", std::nullopt, entitiesOf(catalog) };
}

std::string snapshotText(const ChainState &state)
{
    std::string text = "number: " + std::to_string(state.catalog->head().value()) + "\nauthor: \"snapshot\"\n";
    text += std::string(RemovalsSince) + ": " + std::to_string(state.removalsSince.value()) + "\n";
    text += state.lastChanges.empty() ? "changes: []\n" : "changes:\n";
    for (const auto &[key, number] : state.lastChanges) {
        const std::optional<EntityChange> entity = findEntity(*state.catalog, key.first, key.second);
        appendChange(entity.value_or(Removal { key.first, key.second }), number, text);
    }
    return text;
}

std::optional<ChainState> parseSnapshot(const std::string &text)
{
    const std::optional<Document> document = readInParts(text);
    if (!document.has_value() || document->changedBy.size() != document->ticket.changes.size()) {
        return std::nullopt;
    }
    ChainState state;
    state.catalog =
        std::make_shared<const Catalog>(Catalog().withChanges(document->ticket.changes, document->ticket.number));
    state.removalsSince = document->removalsSince;
    for (std::size_t index = 0; index < document->changedBy.size(); ++index) {
        state.lastChanges.emplace(keyOf(document->ticket.changes[index]), document->changedBy[index]);
    }
    return state;
}

std::optional<Catalog> parseCatalog(const std::string &text)
{
    const std::optional<ChainState> state = parseSnapshot(text);
    return state.has_value() ? std::optional<Catalog>(*state->catalog) : std::nullopt;
}

} // namespace GeraniumLever
