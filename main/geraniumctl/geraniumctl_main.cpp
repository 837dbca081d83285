/** Entry point of geraniumctl. */
#include <chrono>
#include <iostream>
#include <thread>

#include "main/geraniumctl/geraniumctl.h"

namespace {

using namespace GeraniumLever;

std::string withoutTrailingBlanks(std::string text)
{
    text.erase(text.find_last_not_of(" \r\n\t") + 1);
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    const std::variant<CommandLine, CommandLineHelp> parsed = parseCommandLine(argc, argv);
    if (const CommandLineHelp *help = std::get_if<CommandLineHelp>(&parsed)) {
        (help->isUsageError ? std::cerr : std::cout) << help->text;
        return static_cast<int>(help->isUsageError ? ExitCode::Usage : ExitCode::Done);
    }
    const CommandLine &line = std::get<CommandLine>(parsed);
    std::string key;
    if (!line.keyFile.empty()) {
        const std::optional<std::string> content = readFile(line.keyFile, std::cerr);
        if (!content.has_value()) {
            return static_cast<int>(ExitCode::Usage);
        }
        key = withoutTrailingBlanks(*content);
    }
    HttpChannel channel;
    OperatorSession session(channel, line.nodes, key);
    CommandContext context { line, session, std::cout, std::cerr, [](Duration duration) {
                                std::this_thread::sleep_for(duration);
                            } };
    return static_cast<int>(runCommand(context));
}
