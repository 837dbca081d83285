#!/usr/bin/env bash
# Requests with a prompt part that crashes servers come one after the other and are repeated by their clients.
# Writes record.txt beside this file. TROUBLE=0 does the same without the disruption.
bash "$(dirname "$0")/../support-2/run_case.sh" "$(dirname "$0")" crashing_part_case repeats
