#include "development/load/process_memory.h"

#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace GeraniumLever {

std::optional<std::size_t> residentKibibytes(int processId)
{
    std::ifstream status("/proc/" + std::to_string(processId) + "/status");
    std::string word;
    while (status >> word) {
        std::size_t kibibytes = 0;
        if (word == "VmRSS:" && status >> kibibytes) {
            return kibibytes;
        }
    }
    return std::nullopt;
}

std::optional<double> processorSeconds(int processId)
{
    std::ifstream file("/proc/" + std::to_string(processId) + "/stat");
    std::string line;
    if (!std::getline(file, line) || line.rfind(')') == std::string::npos) {
        return std::nullopt;
    }
    // The fields after the name: state is the first, user and system time are the twelfth and thirteenth.
    constexpr int FieldsBeforeUserTime = 11;
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int index = 0; index < FieldsBeforeUserTime; ++index) {
        fields >> skipped;
    }
    double userTicks = 0;
    double systemTicks = 0;
    fields >> userTicks >> systemTicks;
    return (userTicks + systemTicks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace GeraniumLever
