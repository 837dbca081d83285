#!/usr/bin/env bash
# Relays are stopped and started in turn while the store carries some writes out late; then a server limits its requests.
# Writes record.txt beside this file. TROUBLE=0 does the same without the late writes.
bash "$(dirname "$0")/../support-2/run_case.sh" "$(dirname "$0")" lost_entry_case
