#!/usr/bin/env bash
# Builds and runs the measurements: the core in virtual time, then real processes
# (scripts/bench_processes.sh). Prints one JSON object per line. --no-processes
# leaves the second part out; other arguments go to lentilcross_bench; see its
# --help:
#   scripts/bench.sh --no-processes --scenario steady --seed 1,2,3
#   scripts/bench.sh --no-processes --series >run.json && scripts/plot.sh run.json
set -euo pipefail
cd "$(dirname "$0")/.."
processes=true
arguments=()
for argument in "$@"; do
  if [ "$argument" = --no-processes ]; then
    processes=false
  else
    arguments+=("$argument")
  fi
done
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j 3 --target lentilcross_bench >&2
build/lentilcross_bench ${arguments[@]+"${arguments[@]}"}
if [ "$processes" = true ]; then scripts/bench_processes.sh; fi
