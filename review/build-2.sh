#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start, beside the relay of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() {
    g++ -std=c++20 -O1 -I. -c "$1" -o "$out/$(basename "$1" .cpp).o"
}
shared=()
for file in review/support-2/http_exchange.cpp review/support-2/site.cpp development/platform_standins/raw_session.cpp \
    development/platform_standins/slow_link.cpp development/platform_standins/store_stand_in.cpp \
    development/platform_standins/store_tables.cpp; do
    compile "$file" &
    shared+=("$out/$(basename "$file" .cpp).o")
done
for file in review/support-2/*_case.cpp; do
    compile "$file" &
done
wait
for file in review/support-2/*_case.cpp; do
    name=$(basename "$file" .cpp)
    g++ "$out/$name.o" "${shared[@]}" -o "$out/$name" -lboost_json -lcrypto -lxxhash -lpthread
done
