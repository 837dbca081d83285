/**
 * Public header of the claims package: guarantees that a call of a non-idempotent class runs at most once, and that
 * callers receive the outcome "not run" only when it is certain. Performs no I/O.
 */
#pragma once

#include "servers/claims/claim_system.h"
