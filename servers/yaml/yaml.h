/**
 * Public header of the yaml package: typed reading of hand-written YAML texts. All errors are collected, not only the
 * first. I/O-free.
 */
#pragma once

#include "servers/yaml/field_reader.h"
#include "servers/yaml/text_checks.h"
