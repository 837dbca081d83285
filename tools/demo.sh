#!/usr/bin/env bash
# Builds the demo site and sends a few requests of each class to it, all in one process.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release >/dev/null
cmake --build --preset release -j "${GERANIUM_JOBS:-$(nproc)}" --target geranium-demo
exec build/development/demo/geranium-demo "$@"
