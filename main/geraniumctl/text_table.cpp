#include "main/geraniumctl/text_table.h"

#include <algorithm>
#include <utility>

namespace GeraniumLever {

namespace {

constexpr std::size_t ColumnGap = 2;

} // namespace

TextTable::TextTable(std::vector<std::string> header)
{
    rows_.push_back(std::move(header));
}

void TextTable::add(std::vector<std::string> row)
{
    rows_.push_back(std::move(row));
}

std::string TextTable::text() const
{
    std::vector<std::size_t> widths(rows_.front().size(), 0);
    for (const std::vector<std::string> &row : rows_) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    for (const std::vector<std::string> &row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column];
            line.append(widths[column] + ColumnGap - row[column].size(), ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace GeraniumLever
