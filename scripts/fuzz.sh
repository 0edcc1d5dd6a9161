#!/usr/bin/env bash
# Runs each fuzz target for a fixed number of runs with a fixed seed:
#   scripts/fuzz.sh [RUNS]
# The committed corpus is the start; new inputs go to BUILD_DIR/corpus, and an
# input that fails to BUILD_DIR/findings.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
build=build-fuzz
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER=clang++ \
  -DLENTILCROSS_FUZZ=ON >/dev/null
cmake --build "$build" --target fuzz_targets -j 3
for source in tests/fuzz/*_fuzz.cpp; do
  target=$(basename "$source" .cpp)
  name=${target%_fuzz}
  # A new corpus each time, so that the runs are the same.
  rm -rf "${build:?}/corpus/$name"
  mkdir -p "$build/corpus/$name" "$build/findings"
  echo "fuzz $name: $runs runs, seed 1"
  log=$build/$target.log
  "$build/$target" -runs="$runs" -seed=1 -max_len=16384 -timeout=10 \
    -rss_limit_mb=1024 -print_final_stats=1 -verbosity=0 \
    -artifact_prefix="$build/findings/$name-" \
    "$build/corpus/$name" "tests/fuzz/corpus/$name" >"$log" 2>&1 || {
    cat "$log"
    exit 1
  }
  grep '^stat::' "$log"
done
