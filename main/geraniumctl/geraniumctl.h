/** Public header of the geraniumctl package: the command line program for operators. */
#pragma once

#include "main/geraniumctl/command_line.h"
#include "main/geraniumctl/commands.h"
#include "main/geraniumctl/exit_code.h"
#include "main/geraniumctl/http_channel.h"
#include "main/geraniumctl/operator_session.h"
#include "main/geraniumctl/replies.h"
#include "main/geraniumctl/text_table.h"
