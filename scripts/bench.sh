#!/usr/bin/env bash
# Builds and runs the measurements of the core; prints one JSON object per line.
# Arguments go to lentilcross_bench; see its --help:
#   scripts/bench.sh --scenario steady --policy lentilcross --seed 1,2,3
#   scripts/bench.sh --series >run.json && scripts/plot.sh run.json
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j 3 --target lentilcross_bench >&2
exec build/lentilcross_bench "$@"
