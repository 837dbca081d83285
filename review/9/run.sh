#!/usr/bin/env bash
# All relays are killed at the same moment while streams of two software versions run.
# Writes record.txt beside this file. TROUBLE=0 does the same without the kill.
bash "$(dirname "$0")/../support-2/run_case.sh" "$(dirname "$0")" fresh_origin_case
