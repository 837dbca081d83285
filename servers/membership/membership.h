/** Public header of the membership package: which nodes are alive, and which of them is responsible for what. */
#pragma once

#include "servers/membership/membership_system.h"
#include "servers/membership/rendezvous.h"
