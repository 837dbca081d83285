/** Public header of what fault soaks need besides the stand-ins. It serves tests only. */
#pragma once

#include "development/soak/fault_proxy.h"
