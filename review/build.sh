#!/usr/bin/env bash
# Builds the stand-ins of all scripts into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[0-9]/scenario.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -I. "$source" -o "review/bin/case$number" -lpthread &
done
wait
for source in review/[0-9]/scenario.cc; do
  test -x "review/bin/case$(basename "$(dirname "$source")")"
done
