#include <fstream>
#include <ostream>
#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "drivers/settings/settings.h"
#include "main/geraniumctl/commands.h"
#include "main/geraniumctl/replies.h"
#include "servers/tickets/tickets.h"
#include "servers/yaml/yaml.h"

namespace GeraniumLever {

namespace {

/** Tickets and settings have no field in common. */
bool looksLikeTicket(const std::string &text)
{
    const YamlResult parsed = parseYaml(text);
    if (std::holds_alternative<Fault>(parsed)) {
        return false;
    }
    std::vector<Fault> faults;
    const FieldReader reader(std::get<YAML::Node>(parsed), "file", faults);
    return reader.has("number") || reader.has("changes") || reader.has("author");
}

/** The catalog in force at the first node that answers. */
std::optional<Catalog> fetchCatalog(CommandContext &context, ExitCode &failure)
{
    const std::optional<std::string> body = fetch(context, "/admin/state", failure);
    if (!body.has_value()) {
        return std::nullopt;
    }
    const std::optional<StateReply> state = readState(*body);
    std::optional<Catalog> catalog = state.has_value() ? parseCatalog(state->catalog) : std::nullopt;
    if (!catalog.has_value()) {
        failure = reportUnreadableReply(context);
    }
    return catalog;
}

ExitCode checkTicket(CommandContext &context, const std::string &text)
{
    const std::variant<Ticket, std::vector<Fault>> parsed = parseTicket(text);
    if (const std::vector<Fault> *faults = std::get_if<std::vector<Fault>>(&parsed)) {
        return printFaults(context, *faults);
    }
    if (context.line.nodes.empty()) {
        return printFaults(context, {});
    }
    ExitCode failure = ExitCode::Done;
    const std::optional<Catalog> catalog = fetchCatalog(context, failure);
    if (!catalog.has_value()) {
        return failure;
    }
    return printFaults(context, validateTicket(std::get<Ticket>(parsed), *catalog));
}

} // namespace

std::optional<std::string> readFile(const std::string &path, std::ostream &err)
{
    std::ifstream file(path);
    std::stringstream content;
    content << file.rdbuf();
    if (!file.good()) {
        err << path << " cannot be read\n";
        return std::nullopt;
    }
    return content.str();
}

ExitCode printFaults(CommandContext &context, const std::vector<Fault> &faults)
{
    if (context.line.json) {
        boost::json::array list;
        for (const Fault &fault : faults) {
            list.push_back(boost::json::object { { "line", fault.line }, { "message", fault.message } });
        }
        context.out << boost::json::serialize(boost::json::object { { "faults", std::move(list) } }) << "\n";
    } else if (faults.empty()) {
        context.out << "no faults\n";
    } else {
        context.out << formatFaults(faults) << "\n";
    }
    return faults.empty() ? ExitCode::Done : ExitCode::Faults;
}

ExitCode checkFile(CommandContext &context)
{
    const std::optional<std::string> text = readFile(context.line.words.back(), context.err);
    if (!text.has_value()) {
        return ExitCode::Faults;
    }
    if (looksLikeTicket(*text)) {
        return checkTicket(context, *text);
    }
    const SettingsResult result = parseSettings(*text);
    const std::vector<Fault> *faults = std::get_if<std::vector<Fault>>(&result);
    return printFaults(context, faults == nullptr ? std::vector<Fault>() : *faults);
}

ExitCode showTicketDifferences(CommandContext &context)
{
    const std::optional<std::string> text = readFile(context.line.words.back(), context.err);
    if (!text.has_value()) {
        return ExitCode::Faults;
    }
    const std::variant<Ticket, std::vector<Fault>> parsed = parseTicket(*text);
    if (const std::vector<Fault> *faults = std::get_if<std::vector<Fault>>(&parsed)) {
        return printFaults(context, *faults);
    }
    ExitCode failure = ExitCode::Done;
    const std::optional<Catalog> catalog = fetchCatalog(context, failure);
    if (!catalog.has_value()) {
        return failure;
    }
    const std::vector<std::string> lines = differences(std::get<Ticket>(parsed), *catalog);
    if (context.line.json) {
        boost::json::array list(lines.begin(), lines.end());
        const boost::json::object body { { "head", catalog->head().value() }, { "differences", std::move(list) } };
        context.out << boost::json::serialize(body) << "\n";
        return ExitCode::Done;
    }
    context.out << "against ticket " << catalog->head().value() << ":\n";
    for (const std::string &line : lines) {
        context.out << line << "\n";
    }
    return ExitCode::Done;
}

} // namespace GeraniumLever
