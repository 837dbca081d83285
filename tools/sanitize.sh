#!/usr/bin/env bash
# Builds the tests of the I/O-free logic with AddressSanitizer and UndefinedBehaviorSanitizer and runs them.
set -euo pipefail
cd "$(dirname "$0")/.."
tests=(core_test membership_test scheduling_test ingress_test orders_test tickets_test routing_test relay_test relay_silence_test
    upstream_limits_test relay_driver_test peers_test platform_test relay_node_test)
cmake --preset sanitize >/dev/null
cmake --build --preset sanitize -j "${GERANIUM_JOBS:-$(nproc)}" --target "${tests[@]}"
ctest --preset sanitize -j 4 -R "^($(IFS='|'; echo "${tests[*]}"))\$"
