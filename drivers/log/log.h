/** Public header of the log package: decision lines and non-blocking log output. */
#pragma once

#include "drivers/log/decision_line.h"
#include "drivers/log/non_blocking_log_sink.h"
