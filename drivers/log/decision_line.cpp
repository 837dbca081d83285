#include "drivers/log/decision_line.h"

namespace GeraniumLever {

std::string formatDecision(const Decision &decision)
{
    std::string line = "decision=" + decision.kind;
    for (const auto &[name, value] : decision.fields) {
        line += ' ';
        line += name;
        line += '=';
        line += value;
    }
    return line;
}

} // namespace GeraniumLever
