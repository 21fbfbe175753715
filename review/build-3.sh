#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts of the third review into
# build-review-3/. Needs only the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
sources=review/standins-3/testing
output=build-review-3
mkdir -p "$output"
compile() { g++ -std=c++20 -O1 -Wall -Wextra "$@"; }
compile -c "$sources/stand_ins.cc" -o "$output/stand_ins.o"
for driver in "$sources"/*_case.cc; do
  compile "$driver" "$output/stand_ins.o" -o "$output/$(basename "$driver" .cc)" \
    -lPocoJSON -lPocoFoundation -lpthread
done
