/** Public header of the load package: bounded load on loopback addresses, with its figures. */
#pragma once

#include "development/load/compare_load.h"
#include "development/load/hold_load.h"
#include "development/load/load_settings.h"
#include "development/load/process_memory.h"
#include "development/load/stream_load.h"
