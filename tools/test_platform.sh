#!/usr/bin/env bash
# Builds and runs the tests of the relay: the platform adapter, and real processes against the platform's stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
tests=(routing_test relay_test relay_silence_test upstream_limits_test relay_driver_test peers_test log_test platform_test
    relay_node_test relay_process_test relay_response_test relay_silent_server_test)
cmake --preset release >/dev/null
cmake --build --preset release -j "${GERANIUM_JOBS:-$(nproc)}" --target "${tests[@]}"
ctest --preset release -j 4 -R "^($(IFS='|'; echo "${tests[*]}"))\$"
