/**
 * Public header of the scheduling package: decides which request gets a seat at which upstream, and which is refused or
 * paused. A seat is the right to run one request at an upstream. The package does no I/O; a node runs it for the shards
 * that it schedules.
 */
#pragma once

#include "servers/scheduling/scheduling_system.h"
#include "servers/scheduling/shard_map.h"
