/**
 * Public header of the ingress package: the way of each caller's request through one node, from its arrival to its
 * final answer. I/O-free.
 */
#pragma once

#include "servers/ingress/ingress_system.h"
#include "servers/ingress/percent_decoding.h"
