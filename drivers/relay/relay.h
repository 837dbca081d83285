/** Public header of the relay driver: HTTP server and client for requests that are forwarded unchanged. */
#pragma once

#include "drivers/relay/relay_client.h"
#include "drivers/relay/relay_header_codec.h"
#include "drivers/relay/relay_server.h"
