#!/usr/bin/env bash
# Runs this case and writes what was sent, answered and run to record.txt in this folder. Exit code 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
record=$folder/record.txt
: > "$record" || exit 2
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
if [ ! -x "$program" ]; then
    echo "the case could not run: review/build.sh has not built $program" | tee "$record"
    exit 2
fi
# The program ends the processes that it has started, also when it is stopped.
timeout -k 5 110 "$program" "$record"
code=$?
if [ $code -gt 1 ]; then
    echo "the program ended with exit code $code" >> "$record"
    exit 2
fi
exit $code
