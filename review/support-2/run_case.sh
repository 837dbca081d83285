#!/usr/bin/env bash
# Runs a case: run_case.sh FOLDER PROGRAM [ARGUMENT]. Writes FOLDER/record.txt.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
case_folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
program="target/review-2/$2"
shift 2
if [ ! -x "$program" ] || [ ! -x target/main/geraniumlever/geraniumlever ]; then
    echo "build the relay with the command of deploy/system.toml, and then run review/build-2.sh" >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 "$program" "$@" "$folder" "$case_folder/record.txt"
code=$?
tail -n 1 "$case_folder/record.txt"
if [ "$code" -gt 1 ]; then
    code=2
fi
exit "$code"
