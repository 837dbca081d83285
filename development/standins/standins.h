/** Public header of the standins package: small servers that take the place of engines, plain services and the platform
 *  in tests. Not part of what is installed. */
#pragma once

#include "development/standins/completion_format.h"
#include "development/standins/engine_stand_in.h"
#include "development/standins/item_table.h"
#include "development/standins/platform_stand_in.h"
#include "development/standins/service_stand_in.h"
#include "development/standins/stand_in_text.h"
#include "development/standins/table_protocol.h"
