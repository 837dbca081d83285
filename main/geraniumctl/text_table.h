/** Plain text tables for terminal output. */
#pragma once

#include <string>
#include <vector>

namespace GeraniumLever {

class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /** A row must have as many cells as the header. */
    void add(std::vector<std::string> row);

    /** The table with left-aligned columns, two blanks apart. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace GeraniumLever
