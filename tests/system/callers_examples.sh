#!/usr/bin/env bash
# Runs the curl commands of docs/CALLERS.md unchanged against the demo site and checks each response.
# Usage: callers_examples.sh DEMO_PROGRAM CALLERS_PAGE
set -euo pipefail
base_port=18580
folder=$(mktemp -d)
"$1" --base-port "$base_port" --serve-s 60 >"$folder/demo.log" &
demo=$!
trap 'kill "$demo" 2>/dev/null || true; rm -rf "$folder"' EXIT
for _ in $(seq 600); do
    grep -q '^serving' "$folder/demo.log" && break
    kill -0 "$demo"
    sleep 0.1
done
grep -q '^serving' "$folder/demo.log"

# Each command is an indented block that starts with curl.
python3 - "$2" "$folder" <<'EOF'
import pathlib
import re
import sys
page = pathlib.Path(sys.argv[1]).read_text()
blocks = re.findall(r"(?:^    .+\n)+", page, re.MULTILINE)
commands = [block for block in blocks if block.lstrip().startswith("curl")]
for number, command in enumerate(commands):
    pathlib.Path(sys.argv[2], f"example-{number}.sh").write_text(command)
EOF
export KEY=demo-caller-key NODE="127.0.0.1:$base_port"
bash "$folder/example-0.sh" >"$folder/stream"
grep -q '^data: \[DONE\]' "$folder/stream"
bash "$folder/example-1.sh" >"$folder/payment"
grep -qi '^geranium-outcome: answered' "$folder/payment"
bash "$folder/example-1.sh" >"$folder/again"
grep -qi '^geranium-replayed: true' "$folder/again"
[ ! -e "$folder/example-2.sh" ]
echo "1 passed, 0 failed"
