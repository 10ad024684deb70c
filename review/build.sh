#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into review/build, with the packages that the
# deploy file names.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags="-std=c++20 -O1 -Wall -Wextra"
[ build/boost_json.o -nt standins/boost_json.cpp ] ||
  g++ $flags -c standins/boost_json.cpp -o build/boost_json.o
for source in standins/case_*.cpp; do
  g++ $flags "$source" build/boost_json.o -o "build/$(basename "$source" .cpp)"
done
