# Draws the tables of scripts/bench.sh --plots; `data` and `out` are directories.
set terminal svg size 720,420 font "sans,12"
set key below
set grid
set yrange [0:1.15]
policies = "lentilcross none fixed-limit queue-timeout"

set ylabel "goodput, fraction of clairvoyant"
set xlabel "demand, times capacity"
do for [deployment in "cedarhoop brierley"] {
  do for [depth in "4 21"] {
    set output sprintf("%s/demand-%s-%s.svg", out, deployment, depth)
    set title sprintf("Goodput against demand, %s, depth %s", deployment, depth)
    plot for [p in policies] sprintf("%s/demand-%s-%s-%s", data, deployment, depth, p) \
      using 1:2 with linespoints title p
  }
}

set ylabel "goodput, fraction of capacity"
set xlabel "time, s"
do for [scenario in "slow-deep-service surge-endless-repeats cold-restart"] {
  do for [deployment in "cedarhoop brierley"] {
    do for [depth in "4 21"] {
      set output sprintf("%s/%s-%s-%s.svg", out, scenario, deployment, depth)
      set title sprintf("Goodput over time, %s, %s, depth %s", scenario, deployment, depth)
      plot for [p in policies] \
        sprintf("%s/time-%s-%s-%s-%s", data, scenario, deployment, depth, p) \
        using 1:2 with lines title p
    }
  }
}
