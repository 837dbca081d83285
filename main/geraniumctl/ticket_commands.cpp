#include <charconv>
#include <map>
#include <ostream>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "main/geraniumctl/commands.h"
#include "main/geraniumctl/replies.h"
#include "main/geraniumctl/text_table.h"
#include "servers/tickets/tickets.h"

namespace GeraniumLever {

namespace {

constexpr unsigned HttpOk = 200;
constexpr Duration PollPeriod = std::chrono::milliseconds(500);

/** Number of live nodes of one data centre, and how many of them have the ticket in force. */
struct DataCenterProgress
{
    std::size_t alive = 0;
    std::size_t inForce = 0;

    /** False for a data centre without live nodes, since its state is unknown. */
    bool isComplete() const { return alive > 0 && inForce == alive; }
};

using Progress = std::map<std::string, DataCenterProgress>;

Progress progressOf(const TicketReply &ticket)
{
    Progress progress;
    for (const NodeReply &node : ticket.nodes) {
        DataCenterProgress &dataCenter = progress[node.dataCenter];
        dataCenter.alive += node.alive ? 1 : 0;
        dataCenter.inForce += node.alive && node.inForce ? 1 : 0;
    }
    return progress;
}

bool inForceEverywhere(const Progress &progress)
{
    for (const auto &[name, dataCenter] : progress) {
        if (!dataCenter.isComplete()) {
            return false;
        }
    }
    return !progress.empty();
}

std::string progressText(const Progress &progress)
{
    std::string text;
    for (const auto &[name, dataCenter] : progress) {
        text += text.empty() ? "" : ", ";
        text += name + " " + std::to_string(dataCenter.inForce) + "/" + std::to_string(dataCenter.alive);
        text += dataCenter.alive == 0 ? " (not reached)" : "";
    }
    return text;
}

std::optional<TicketReply> fetchTicket(CommandContext &context, const std::string &number, ExitCode &failure)
{
    const std::optional<std::string> body = fetch(context, "/admin/tickets/" + number, failure);
    if (!body.has_value()) {
        return std::nullopt;
    }
    std::optional<TicketReply> ticket = readTicket(*body);
    if (!ticket.has_value()) {
        failure = reportUnreadableReply(context);
    }
    return ticket;
}

ExitCode waitUntilInForce(CommandContext &context, std::uint64_t number)
{
    std::string lastText;
    // Polling continues if a node does not know the ticket yet or does not answer; such errors are not printed.
    std::ostream discarded(nullptr);
    CommandContext pollContext { context.line, context.session, context.out, discarded, context.pause };
    for (Duration waited {}; waited <= context.line.waitLimit; waited += PollPeriod) {
        ExitCode failure = ExitCode::Done;
        const std::optional<TicketReply> ticket = fetchTicket(pollContext, std::to_string(number), failure);
        if (ticket.has_value()) {
            const Progress progress = progressOf(*ticket);
            const std::string text = progressText(progress);
            if (text != lastText) {
                context.err << "in force: " << text << "\n";
                lastText = text;
            }
            if (inForceEverywhere(progress)) {
                return ExitCode::Done;
            }
        }
        context.pause(PollPeriod);
    }
    context.err << "ticket " << number << " is accepted, but not in force in every data centre yet\n";
    return ExitCode::NotInForce;
}

/** Prints the message of a failed submission and returns the exit code. */
ExitCode reportFailure(CommandContext &context, const SessionFailure &failure)
{
    context.err << failure.message;
    if (failure.mayHaveActed) {
        context.err << "it is not known whether the ticket was accepted; submit the same file again to find out\n";
        return ExitCode::Unknown;
    }
    context.err << "the ticket was not accepted\n";
    return ExitCode::Unreachable;
}

} // namespace

ExitCode submitTicket(CommandContext &context)
{
    const std::optional<std::string> text = readFile(context.line.words.back(), context.err);
    if (!text.has_value()) {
        return ExitCode::Faults;
    }
    const std::variant<Ticket, std::vector<Fault>> parsed = parseTicket(*text);
    if (const std::vector<Fault> *faults = std::get_if<std::vector<Fault>>(&parsed)) {
        return printFaults(context, *faults);
    }
    if (!std::get<Ticket>(parsed).basedOn.has_value()) {
        context.err << "note: without based_on, concurrent changes by others are not detected\n";
    }
    const SessionResult result = context.session.submit(*text);
    if (const SessionFailure *failure = std::get_if<SessionFailure>(&result)) {
        return reportFailure(context, *failure);
    }
    const HttpResponse &response = std::get<HttpResponse>(result);
    const std::optional<std::uint64_t> number = readAcceptedNumber(response.body);
    if (response.status != HttpOk || !number.has_value()) {
        const std::optional<ErrorReply> error = readError(response.body);
        context.err << (error.has_value() ? error->name + ": " + error->message : "the node's reply cannot be parsed")
                    << "\n";
        return response.status == HttpOk ? ExitCode::Unknown : ExitCode::Refused;
    }
    if (context.line.json) {
        context.out << boost::json::serialize(boost::json::object { { "number", *number } }) << "\n";
    } else {
        context.out << "ticket " << *number << " accepted\n";
    }
    context.out.flush();
    return context.line.wait ? waitUntilInForce(context, *number) : ExitCode::Done;
}

ExitCode showTicketStatus(CommandContext &context)
{
    const std::string &number = context.line.words.back();
    std::uint64_t value = 0;
    const std::from_chars_result parsed = std::from_chars(number.data(), number.data() + number.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != number.data() + number.size() || value == 0) {
        context.err << "ticket status needs a number\n";
        return ExitCode::Usage;
    }
    ExitCode failure = ExitCode::Done;
    const std::optional<std::string> body = fetch(context, "/admin/tickets/" + number, failure);
    if (!body.has_value()) {
        return failure;
    }
    const std::optional<TicketReply> ticket = readTicket(*body);
    if (!ticket.has_value()) {
        return reportUnreadableReply(context);
    }
    const Progress progress = progressOf(*ticket);
    if (context.line.json) {
        context.out << *body << "\n";
    } else {
        TextTable table({ "NODE", "DATA CENTER", "ALIVE", "HEAD", "IN FORCE" });
        for (const NodeReply &node : ticket->nodes) {
            table.add({ node.node,
                        node.dataCenter,
                        node.alive ? "yes" : "no",
                        std::to_string(node.head),
                        node.inForce ? "yes" : "no" });
        }
        context.out << "ticket " << value << " in force: " << progressText(progress) << "\n\n" << table.text();
    }
    return inForceEverywhere(progress) ? ExitCode::Done : ExitCode::NotInForce;
}

} // namespace GeraniumLever
