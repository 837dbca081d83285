#!/usr/bin/env bash
# Builds everything and runs every test. Tests listed in KNOWN-RED.txt are run separately and do not affect the result;
# the file is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs="${GERANIUM_JOBS:-$(nproc)}"
cmake --preset release >/dev/null
cmake --build --preset release -j "$jobs"
known_red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' - || true)
exclude=()
[ -n "$known_red" ] && exclude=(-E "^($known_red)\$")
ctest --preset release -j 4 "${exclude[@]}"
if [ -f KNOWN-RED.txt ]; then
    echo "known failures and findings, not part of the result:"
    cat KNOWN-RED.txt
fi
if [ -n "$known_red" ]; then
    for name in ${known_red//|/ }; do
        if ctest --preset release -R "^$name\$" >/dev/null 2>&1; then
            echo "NOTE: $name passes now; remove it from KNOWN-RED.txt"
        fi
    done
fi
