#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
for source in review/standins-2/*.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -I review/standins-2 -c "$source" \
    -o "$out/$(basename "$source" .cpp).o" &
  jobs+=($!)
done
for job in "${jobs[@]}"; do wait "$job"; done
g++ -pthread "$out"/*.o -o "$out/world"
