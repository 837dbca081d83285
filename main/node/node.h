/** Public header of the node package: the logic of one node, and the adapters that connect it to network and store. */
#pragma once

#include "main/node/entry_node.h"
#include "main/node/node_logic.h"
