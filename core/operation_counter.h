/** Issues operation identifiers. One counter is shared by all components of a node. */
#pragma once

#include "core/ids.h"

namespace GeraniumLever {

class OperationCounter
{
public:
    /** Returns an identifier that this counter has not issued before; never 0. */
    OperationId issue()
    {
        last_ = last_.next();
        return last_;
    }

private:
    OperationId last_;
};

} // namespace GeraniumLever
