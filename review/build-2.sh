#!/usr/bin/env bash
# Builds the programs that the scripts of the second review start, into
# review/bin/, with the compiler and the headers that the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/4/replaced.cc review/5/reuse.cc review/7/leave.cc \
  review/8/lender.cc; do
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -I. "$source" \
    -o "review/bin/$(basename "$source" .cc)" -lpthread
done
