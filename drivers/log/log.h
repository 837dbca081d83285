/** Public header of the log package: decision lines, and log lines that never block. */
#pragma once

#include "drivers/log/decision_line.h"
#include "drivers/log/line_log.h"
