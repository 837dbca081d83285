/**
 * Public header of the scheduling package: decides which request gets a seat at which upstream, and which is refused or
 * paused. I/O-free; a node runs it for the shards whose scheduler it is.
 */
#pragma once

#include "servers/scheduling/scheduling_system.h"
#include "servers/scheduling/shard_map.h"
