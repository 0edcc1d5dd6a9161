#!/usr/bin/env bash
# Builds and runs the measurements of the core; prints one JSON object per line.
#   scripts/bench.sh                 all scenarios, policies, deployments, depths
#   scripts/bench.sh --plots [...]   also draws docs/plots from the output
#   scripts/bench.sh --scenario steady --policy lentilcross --seed 1,2,3
# All other arguments go to lentilcross_bench; see its --help.
set -euo pipefail
cd "$(dirname "$0")/.."

plots=0
if [ "${1:-}" = "--plots" ]; then
  plots=1
  shift
fi

cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j 3 --target lentilcross_bench >&2

if [ "$plots" = 0 ]; then
  exec build/lentilcross_bench "$@"
fi
output=$(mktemp)
trap 'rm -rf "$output" "$output.d"' EXIT
build/lentilcross_bench --series "$@" | tee "$output"
mkdir -p "$output.d" docs/plots

# One table for each curve: field "measure" of the lines that match, x and value.
table() {  # table FILE MEASURE DEPLOYMENT DEPTH SCENARIO POLICY X
  jq_free=$(printf '"measure":"%s","deployment":"%s","scenario":"%s' "$2" "$3" "$5")
  grep -F "$jq_free" "$output" | grep -F "\"policy\":\"$6\"" | grep -F "\"depth\":$4" |
    sed -E "s/.*\"value\":([-0-9.e+]+).*\"$7\":([0-9.e+]+).*/\2 \1/" | sort -g >"$output.d/$1" || true
}
for deployment in cedarhoop brierley; do
  for depth in 4 21; do
    for policy in lentilcross none fixed-limit queue-timeout; do
      table "demand-$deployment-$depth-$policy" goodput "$deployment" "$depth" steady- "$policy" demand
      for scenario in slow-deep-service surge-endless-repeats cold-restart; do
        table "time-$scenario-$deployment-$depth-$policy" goodput-series "$deployment" "$depth" \
          "$scenario" "$policy" time
      done
    done
  done
done
gnuplot -e "data='$output.d'; out='docs/plots'" tools/bench/plot.gp >&2
