#include "main/geraniumctl/command_line.h"

#include <cxxopts.hpp>

#include "servers/yaml/yaml.h"

namespace GeraniumLever {

namespace {

constexpr const char *CommandsHelp = R"(
Commands:
  ticket submit FILE   submit a change ticket; with --wait, until it is in force in every data centre
  ticket status N      show on which nodes ticket N is in force
  ticket diff FILE     show what the ticket would change in the catalog in force
  state                show what one node has in force and in flight
  nodes                show the nodes that one node knows
  decisions            show the last decisions of one node
  requests KEY         show the outcome of a call; needs --team
  check FILE           list every fault of a ticket or settings file; with --node, also against the catalog in force

Exit codes:
  0 done   1 refused or not found   2 usage error   3 no node or table service reached, nothing changed
  4 not known whether the ticket was accepted, send it again   5 faults in the file   6 accepted, not in force everywhere
)";

cxxopts::Options makeOptions()
{
    cxxopts::Options options("geraniumctl", "Operates an installation of geraniumlever.");
    options.positional_help("COMMAND [ARGUMENT]");
    cxxopts::OptionAdder add = options.add_options();
    add("node",
        "a.b.c.d:port of a node's operator listener; may be repeated",
        cxxopts::value<std::vector<std::string>>());
    add("key-file", "file that holds the operator key", cxxopts::value<std::string>());
    add("team", "team that the key of `requests` belongs to", cxxopts::value<std::string>());
    add("json", "print JSON instead of tables");
    add("wait", "wait until a submitted ticket is in force in every data centre");
    add("wait-s", "longest time to wait, in seconds", cxxopts::value<std::uint32_t>()->default_value("60"));
    add("last", "number of decisions", cxxopts::value<std::uint64_t>()->default_value("100"));
    add("help", "print this text");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("words");
    return options;
}

std::string optionalText(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return parsed.count(name) > 0 ? parsed[name].as<std::string>() : std::string();
}

std::vector<std::string> optionalTexts(const cxxopts::ParseResult &parsed, const std::string &name)
{
    return parsed.count(name) > 0 ? parsed[name].as<std::vector<std::string>>() : std::vector<std::string>();
}

CommandLine commandLineOf(const cxxopts::ParseResult &parsed)
{
    CommandLine line;
    line.words = optionalTexts(parsed, "words");
    line.nodes = optionalTexts(parsed, "node");
    line.keyFile = optionalText(parsed, "key-file");
    line.team = optionalText(parsed, "team");
    line.json = parsed.count("json") > 0;
    line.wait = parsed.count("wait") > 0;
    line.waitLimit = std::chrono::seconds(parsed["wait-s"].as<std::uint32_t>());
    line.last = parsed["last"].as<std::uint64_t>();
    return line;
}

} // namespace

std::variant<CommandLine, CommandLineHelp> parseCommandLine(int argc, const char *const *argv)
{
    cxxopts::Options options = makeOptions();
    try {
        const cxxopts::ParseResult parsed = options.parse(argc, argv);
        const CommandLine line = commandLineOf(parsed);
        if (parsed.count("help") > 0 || line.words.empty()) {
            return CommandLineHelp { parsed.count("help") == 0, options.help({ "" }) + CommandsHelp };
        }
        for (const std::string &node : line.nodes) {
            if (!isSocketAddress(node)) {
                return CommandLineHelp { true, "--node must have the form a.b.c.d:port\n" };
            }
        }
        return line;
    } catch (const std::exception &exception) {
        return CommandLineHelp { true, std::string(exception.what()) + "\n" };
    }
}

} // namespace GeraniumLever
