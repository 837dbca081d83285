/** Public header of the stand-ins of the users' platform: its store and its servers. They serve tests only. */
#pragma once

#include "development/platform_standins/server_stand_in.h"
#include "development/platform_standins/store_stand_in.h"
