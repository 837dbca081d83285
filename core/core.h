/**
 * Public header of the core package: identifiers, result codes, time, catalog entities, and the typed events, commands
 * and messages that form the boundary of the I/O-free logic. Other packages include only this header.
 */
#pragma once

#include "core/catalog.h"
#include "core/clock.h"
#include "core/commands.h"
#include "core/entities.h"
#include "core/error.h"
#include "core/events.h"
#include "core/fault.h"
#include "core/http_status.h"
#include "core/ids.h"
#include "core/operation_counter.h"
#include "core/outcome.h"
#include "core/peer_messages.h"
#include "core/percent_encoding.h"
#include "core/prefix_hash.h"
#include "core/random_source.h"
#include "core/result_code.h"
#include "core/store_types.h"
#include "core/table.h"
#include "core/unique_id.h"
