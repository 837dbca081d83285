#include "core/fault.h"

namespace GeraniumLever {

std::string formatFaults(const std::vector<Fault> &faults)
{
    std::string text;
    for (const Fault &fault : faults) {
        if (!text.empty()) {
            text += '\n';
        }
        if (fault.line > 0) {
            text += "line " + std::to_string(fault.line) + ": ";
        }
        text += fault.message;
    }
    return text;
}

} // namespace GeraniumLever
