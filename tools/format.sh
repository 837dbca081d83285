#!/usr/bin/env bash
# Formats every source file; with --check only reports the files that differ.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = "--check" ] && mode=(--dry-run -Werror)
git ls-files -co --exclude-standard '*.h' '*.cpp' | grep -v '/generated/' | xargs -r -P 8 -n 16 clang-format "${mode[@]}"
