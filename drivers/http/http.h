/** Public header of the http package: caller and operator listeners, and clients of upstreams and the platform. */
#pragma once

#include "drivers/http/caller_server.h"
#include "drivers/http/connection_pool.h"
#include "drivers/http/endpoint.h"
#include "drivers/http/error_body.h"
#include "drivers/http/guarded_run.h"
#include "drivers/http/http_client.h"
#include "drivers/http/key_hash.h"
#include "drivers/http/listener.h"
#include "drivers/http/operator_server.h"
#include "drivers/http/output_queue.h"
#include "drivers/http/rejected_response.h"
#include "drivers/http/request_parser.h"
#include "drivers/http/response_parser.h"
#include "drivers/http/upstream_client.h"
