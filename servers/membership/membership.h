/** Public header of the membership package: liveness of the nodes and assignment of responsibilities to them. */
#pragma once

#include "servers/membership/membership_system.h"
#include "servers/membership/rendezvous.h"
