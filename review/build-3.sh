#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/review-3, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standins-3/*.cpp -o target/review-3/cases
