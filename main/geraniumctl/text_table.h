/** Tables for people. */
#pragma once

#include <string>
#include <vector>

namespace GeraniumLever {

class TextTable
{
public:
    explicit TextTable(std::vector<std::string> header);

    /** A row has as many cells as the header. */
    void add(std::vector<std::string> row);

    /** Columns are aligned at the left and two blanks apart. */
    std::string text() const;

private:
    std::vector<std::vector<std::string>> rows_;
};

} // namespace GeraniumLever
