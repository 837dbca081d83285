/** The published JSON protocol of DynamoDB, the part that the project uses, over an ItemTable. */
#pragma once

#include <string>
#include <string_view>

#include "development/standins/item_table.h"

namespace GeraniumLever {

/** Status and JSON body of an answer. */
struct TableAnswer
{
    unsigned status = 200;
    std::string body;

    bool operator==(const TableAnswer &) const = default;
};

class TableProtocol
{
public:
    /** target: value of X-Amz-Target. */
    TableAnswer handle(std::string_view target, std::string_view body);

    /** The answer of a service that is overloaded. Nothing took effect. */
    static TableAnswer overloaded();

private:
    ItemTable table_;
};

} // namespace GeraniumLever
