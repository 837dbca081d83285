/**
 * Public header of the relay package. It decides which upstream gets a relayed request, and which requests wait, are
 * retried or are rejected; requests are forwarded unchanged. Does no I/O.
 */
#pragma once

#include "servers/relay/relay_system.h"
