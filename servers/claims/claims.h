/**
 * Public header of the claims package: makes sure that a call of a non-idempotent class runs at most once, and that
 * callers are told "not run" only when that is certain. I/O-free.
 */
#pragma once

#include "servers/claims/claim_system.h"
