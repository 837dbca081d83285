/**
 * Public header of the routing package: whole configurations of relayed routes, the lookup in them, and the registered
 * upstreams. I/O-free.
 */
#pragma once

#include "servers/routing/configuration_tracker.h"
#include "servers/routing/route_table.h"
#include "servers/routing/site_configuration.h"
#include "servers/routing/upstream_directory.h"
