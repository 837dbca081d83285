/**
 * Public header of the routing package: versioned configurations of relayed routes, lookup in them, and the directory
 * of registered upstreams. Does no I/O.
 */
#pragma once

#include "servers/routing/configuration_tracker.h"
#include "servers/routing/fleet_clock.h"
#include "servers/routing/route_table.h"
#include "servers/routing/site_configuration.h"
#include "servers/routing/store_eras.h"
#include "servers/routing/upstream_directory.h"
#include "servers/routing/upstream_notices.h"
#include "servers/routing/version_notes.h"
