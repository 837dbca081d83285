/** Public header of the relay driver: callers and upstreams of requests that are passed on unchanged. */
#pragma once

#include "drivers/relay/relay_client.h"
#include "drivers/relay/relay_header_codec.h"
#include "drivers/relay/relay_server.h"
