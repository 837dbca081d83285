/**
 * Public header of the yaml package: typed reading of YAML texts that people write, with every fault collected instead
 * of only the first. I/O-free.
 */
#pragma once

#include "servers/yaml/field_reader.h"
#include "servers/yaml/text_checks.h"
