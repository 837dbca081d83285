/**
 * Public header of the relay package: requests that are passed to upstreams unchanged. Which upstream gets a request,
 * which waits, is sent again or is refused. I/O-free.
 */
#pragma once

#include "servers/relay/relay_system.h"
