#!/usr/bin/env bash
# Draws docs/plots from the output of scripts/bench.sh --no-processes --series:
#   scripts/plot.sh FILE...
set -euo pipefail
cd "$(dirname "$0")/.."
tables=$(mktemp -d)
trap 'rm -rf "$tables"' EXIT

# table NAME MEASURE DEPLOYMENT DEPTH SCENARIO_PREFIX POLICY X FILE...
# writes x and value of the matching lines of the first seed, sorted by x.
table() {
  local name=$1 measure=$2 deployment=$3 depth=$4 scenario=$5 policy=$6 x=$7
  shift 7
  { grep -hF "\"measure\":\"$measure\",\"deployment\":\"$deployment\",\"scenario\":\"$scenario" "$@" || true; } |
    { grep -F "\"policy\":\"$policy\",\"seed\":1," || true; } |
    { grep -E "\"depth\":$depth[,}]" || true; } |
    sed -E "s/.*\"value\":([^,]+),.*\"$x\":([0-9.]+).*/\2 \1/" | sort -g >"$tables/$name"
  [ -s "$tables/$name" ] || rm "$tables/$name"
}

for deployment in cedarhoop brierley; do
  for depth in 4 21; do
    for policy in lentilcross none fixed-limit queue-timeout; do
      table "demand-$deployment-$depth-$policy" goodput "$deployment" "$depth" steady- "$policy" demand "$@"
      for scenario in slow-deep-service surge-endless-repeats cold-restart; do
        table "$scenario-$deployment-$depth-$policy" goodput-series "$deployment" "$depth" \
          "$scenario" "$policy" time "$@"
      done
    done
  done
done
mkdir -p docs/plots
gnuplot -e "tables='$tables'" tools/bench/plot.gp
