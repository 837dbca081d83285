/** Public header of the node package: one node's whole logic, and the adapters that connect it to the outside. */
#pragma once

#include "main/node/entry_node.h"
#include "main/node/node_logic.h"
