/** Public header of the relay process. */
#pragma once

#include "main/relay/relay_node.h"
