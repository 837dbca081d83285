#!/usr/bin/env bash
# Builds the programs of the review's scripts with the stand-ins that they start, into target/review. Needs only the
# packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
objects=target/review/objects
mkdir -p "$objects"
flags=(-std=c++20 -O1 -Wall -Wextra -I. -DBOOST_JSON_NO_LIB)
sources=(core/*.cpp development/platform_standins/*.cpp review/support/*.cpp review/[1-5]/*.cpp)
compile() {
    local object
    object=$objects/$(echo "${1%.cpp}" | tr '/' '-').o
    g++ "${flags[@]}" -c "$1" -o "$object"
}
running=0
for source in "${sources[@]}"; do
    compile "$source" &
    running=$((running + 1))
    if [ $running -ge 6 ]; then
        wait -n
        running=$((running - 1))
    fi
done
while [ $running -gt 0 ]; do
    wait -n
    running=$((running - 1))
done
libraries=(-lboost_json -lcrypto -lssl -lxxhash -lpthread)
for main in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$main")")
    g++ -o "target/review/case-$number" "$objects/review-$number-"*.o "$objects"/review-support-*.o \
        "$objects"/core-*.o "$objects"/development-platform_standins-*.o "${libraries[@]}"
done
