/**
 * Public header of the orders package: upgrades engines to the model version, adapter and role that the catalog
 * specifies, one by one and under a lease. I/O-free.
 */
#pragma once

#include "servers/orders/order_system.h"
