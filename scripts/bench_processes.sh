#!/usr/bin/env bash
# Measures daemons as real processes on loopback: goodput and recovery, CPU time,
# memory and control traffic, and added latency. Prints one JSON object per line.
# Takes under 4 minutes once built; every scenario prints the load average of the
# machine, which should be low.
#   scripts/bench_processes.sh [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j 3 --target lentilcross_scenario loopback_latency >&2

# Steps and failures go to standard error.
status=0
run() {
  build/lentilcross_scenario "tests/measurements/$1.scenario" build "$2" "$seed" |
    awk '/^{/ { print; next } { print > "/dev/stderr" }' || status=1
}

for deployment in cedarhoop brierley; do
  for scenario in surge overload silent cut busy; do
    run "$scenario" "$deployment"
  done
done
run idle cedarhoop
build/loopback_latency
exit "$status"
