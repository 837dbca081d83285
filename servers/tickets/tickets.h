/**
 * Public header of the tickets package: parsing and validation of change tickets, their acceptance in the table
 * service, and their distribution to all nodes. I/O-free.
 */
#pragma once

#include "servers/tickets/ticket.h"
#include "servers/tickets/ticket_system.h"
