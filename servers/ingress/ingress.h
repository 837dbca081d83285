/**
 * Public header of the ingress package: handles each caller's request at one node, from its arrival to its final
 * answer. Performs no I/O.
 */
#pragma once

#include "servers/ingress/ingress_system.h"
#include "servers/ingress/percent_decoding.h"
