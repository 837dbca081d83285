#!/usr/bin/env bash
# Another writer's entry with fields missing or of another type names a server of another service.
# TROUBLE=0 does the same without the disruption.
bash "$(dirname "$0")/../support-2/run_case.sh" "$(dirname "$0")" foreign_entry_case
