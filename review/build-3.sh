#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++17 -O1 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c review/common-3/lab.cpp -o "$out/lab.o"
for source in review/1[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" "$out/lab.o" -o "$out/case-$number"
done
