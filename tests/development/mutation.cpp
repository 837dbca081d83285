#include "tests/development/mutation.h"

#include <iterator>

namespace GeraniumLever {

namespace {

constexpr const char *Replacements[] = {
    "-1",
    "0",
    "9223372036854775807",
    "-9223372036854775808",
    "18446744073709551615",
    "1e308",
    "-1e308",
    "1e19",
    "0.5",
    "null",
    "true",
    "\"\"",
    "[]",
    "{}",
    "[[",
    "\xff",
    "\"\\u0000\"",
};

} // namespace

std::string mutated(std::string text, RandomSource &random)
{
    const std::uint64_t changes = 1 + random.below(3);
    for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t position = random.below(text.size());
        switch (random.below(6)) {
        case 0:
            text[position] = static_cast<char>(random.below(256));
            break;
        case 1:
            text.erase(position, 1 + random.below(8));
            break;
        case 2:
            text.insert(position, text.substr(position, 1 + random.below(16)));
            break;
        case 3:
            text.resize(position);
            break;
        default: {
            // Numbers are where the damage is most likely to be taken for a value.
            const std::size_t begin = text.find_first_of("0123456789", position);
            if (begin != std::string::npos) {
                const std::size_t end = text.find_first_not_of("0123456789", begin);
                text.replace(begin,
                             (end == std::string::npos ? text.size() : end) - begin,
                             Replacements[random.below(std::size(Replacements))]);
            }
            break;
        }
        }
    }
    return text;
}

} // namespace GeraniumLever
