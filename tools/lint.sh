#!/usr/bin/env bash
# Checks layering and runs clang-tidy over every source file that has changed since it was last found clean.
# Usage: tools/lint.sh [FILE ...]   Needs a configured build folder (cmake --preset release).
set -euo pipefail
cd "$(dirname "$0")/.."
python3 tools/check_layers.py
cache="${GERANIUM_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/geranium-lint}"
mkdir -p "$cache"
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard '*.cpp' | grep -v '/generated/')
fi
export cache
# A file stays clean as long as the linter's settings, the file and the project headers that it includes do not change.
lint_one() {
    local file="$1" key
    key=$({ cat .clang-tidy "$file"; grep -ohE '^#include "[^"]+"' "$file" | sed 's/.*"\(.*\)"/\1/' | sort -u \
        | while read -r header; do cat "$header" $(dirname "$header")/*.h 2>/dev/null; done; cat core/*.h; } | sha256sum | cut -d' ' -f1)
    [ -e "$cache/$key" ] && return 0
    if clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p build "$file" 2>/dev/null; then
        touch "$cache/$key"
    else
        echo "lint: $file failed"
        return 1
    fi
}
export -f lint_one
printf '%s\0' "${files[@]}" | xargs -0 -P "${GERANIUM_JOBS:-8}" -n 1 bash -c 'lint_one "$0"'
