#include <charconv>
#include <iterator>
#include <ostream>
#include <string_view>

#include "main/geraniumctl/commands.h"
#include "main/geraniumctl/replies.h"
#include "main/geraniumctl/text_table.h"

namespace GeraniumLever {

namespace {

constexpr unsigned HttpOk = 200;

struct CommandEntry
{
    /** Words of the command line that select this command. */
    std::vector<std::string> words;
    /** Number of arguments after these words. */
    std::size_t arguments;
    ExitCode (*run)(CommandContext &);
};

const std::vector<CommandEntry> &commandEntries()
{
    static const std::vector<CommandEntry> table {
        { { "ticket", "submit" }, 1, &submitTicket },
        { { "ticket", "status" }, 1, &showTicketStatus },
        { { "ticket", "diff" }, 1, &showTicketDifferences },
        { { "state" }, 0, &showState },
        { { "nodes" }, 0, &showNodes },
        { { "decisions" }, 0, &showDecisions },
        { { "requests" }, 1, &showRequest },
        { { "check" }, 1, &checkFile },
    };
    return table;
}

bool matches(const CommandEntry &entry, const std::vector<std::string> &words)
{
    return words.size() == entry.words.size() + entry.arguments
        && std::equal(entry.words.begin(), entry.words.end(), words.begin());
}

std::string yesNo(bool value)
{
    return value ? "yes" : "no";
}

} // namespace

ExitCode runCommand(CommandContext &context)
{
    for (const CommandEntry &entry : commandEntries()) {
        if (matches(entry, context.line.words)) {
            return entry.run(context);
        }
    }
    context.err << "unknown command, or wrong number of arguments; see --help\n";
    return ExitCode::Usage;
}

std::optional<std::string> fetch(CommandContext &context, const std::string &target, ExitCode &failure)
{
    const SessionResult result = context.session.get(target);
    if (const SessionFailure *sessionFailure = std::get_if<SessionFailure>(&result)) {
        context.err << sessionFailure->message;
        failure = ExitCode::Unreachable;
        return std::nullopt;
    }
    const HttpResponse &response = std::get<HttpResponse>(result);
    if (response.status == HttpOk) {
        return response.body;
    }
    const std::optional<ErrorReply> error = readError(response.body);
    context.err << (error.has_value() ? error->name + ": " + error->message
                                      : "HTTP status " + std::to_string(response.status))
                << "\n";
    failure = ExitCode::Refused;
    return std::nullopt;
}

ExitCode reportUnreadableReply(CommandContext &context)
{
    context.err << "the node's reply cannot be parsed\n";
    return ExitCode::Refused;
}

ExitCode showNodes(CommandContext &context)
{
    ExitCode failure = ExitCode::Done;
    const std::optional<std::string> body = fetch(context, "/admin/nodes", failure);
    if (!body.has_value()) {
        return failure;
    }
    const std::optional<std::vector<NodeReply>> nodes = readNodes(*body);
    if (!nodes.has_value()) {
        return reportUnreadableReply(context);
    }
    if (context.line.json) {
        context.out << *body << "\n";
        return ExitCode::Done;
    }
    TextTable table({ "NODE", "DATA CENTER", "STATE", "ALIVE", "HEAD", "DIGEST" });
    for (const NodeReply &node : *nodes) {
        table.add(
            { node.node, node.dataCenter, node.state, yesNo(node.alive), std::to_string(node.head), node.digest });
    }
    context.out << table.text();
    return ExitCode::Done;
}

ExitCode showState(CommandContext &context)
{
    ExitCode failure = ExitCode::Done;
    const std::optional<std::string> body = fetch(context, "/admin/state", failure);
    if (!body.has_value()) {
        return failure;
    }
    const std::optional<StateReply> state = readState(*body);
    if (!state.has_value()) {
        return reportUnreadableReply(context);
    }
    if (context.line.json) {
        context.out << *body << "\n";
        return ExitCode::Done;
    }
    context.out << "node " << state->node.node << " in " << state->node.dataCenter << " is " << state->node.state
                << "\nhead " << state->node.head << (state->caughtUp ? "" : " (not caught up)") << ", digest "
                << state->node.digest << ", epoch " << state->epoch << "\nin flight " << state->inFlight << "\n\n";
    TextTable table({ "UPSTREAM", "POOL", "DATA CENTER", "LEAVING", "IN FLIGHT" });
    for (const UpstreamReply &upstream : state->upstreams) {
        table.add({ upstream.name,
                    upstream.pool,
                    upstream.dataCenter,
                    yesNo(upstream.leaving),
                    std::to_string(upstream.inFlight) });
    }
    context.out << table.text();
    return ExitCode::Done;
}

ExitCode showDecisions(CommandContext &context)
{
    ExitCode failure = ExitCode::Done;
    const std::string target = "/admin/decisions?last=" + std::to_string(context.line.last);
    const std::optional<std::string> body = fetch(context, target, failure);
    if (!body.has_value()) {
        return failure;
    }
    const std::optional<std::vector<std::string>> lines = readDecisions(*body);
    if (!lines.has_value()) {
        return reportUnreadableReply(context);
    }
    if (context.line.json) {
        context.out << *body << "\n";
        return ExitCode::Done;
    }
    for (const std::string &line : *lines) {
        context.out << line << "\n";
    }
    return ExitCode::Done;
}

ExitCode showRequest(CommandContext &context)
{
    if (context.line.team.empty()) {
        context.err << "requests needs --team\n";
        return ExitCode::Usage;
    }
    ExitCode failure = ExitCode::Done;
    const std::string target = "/admin/requests?team=" + percentEncoded(context.line.team)
        + "&key=" + percentEncoded(context.line.words.back());
    const std::optional<std::string> body = fetch(context, target, failure);
    if (!body.has_value()) {
        return failure;
    }
    const std::optional<RequestReply> request = readRequest(*body);
    if (!request.has_value()) {
        return reportUnreadableReply(context);
    }
    if (context.line.json) {
        context.out << *body << "\n";
        return ExitCode::Done;
    }
    context.out << (request->running ? "running" : request->outcome) << "\n";
    return ExitCode::Done;
}

} // namespace GeraniumLever
