# Draws the tables of scripts/plot.sh to docs/plots. `tables` is a directory.
set terminal svg size 720,420 font "sans,12"
set key below
set grid
set yrange [0:1.2]
all = "lentilcross none fixed-limit queue-timeout"

# Policies that have a table.
found(prefix) = system(sprintf("cd '%s' && for p in %s; do [ -e '%s-'$p ] && echo $p; done; true", \
                               tables, all, prefix))

do for [deployment in "cedarhoop brierley"] {
  do for [depth in "4 21"] {
    do for [scenario in "demand slow-deep-service surge-endless-repeats cold-restart"] {
      prefix = sprintf("%s-%s-%s", scenario, deployment, depth)
      policies = found(prefix)
      if (strlen(policies) > 0) {
        set output sprintf("docs/plots/%s.svg", prefix)
        if (scenario eq "demand") {
          set title sprintf("Goodput against demand, %s, depth %s", deployment, depth)
          set ylabel "goodput, fraction of clairvoyant"
          set xlabel "demand, times capacity"
        } else {
          set title sprintf("Goodput over time, %s, %s, depth %s", scenario, deployment, depth)
          set ylabel "goodput, fraction of capacity"
          set xlabel "time, s"
        }
        plot for [p in policies] sprintf("%s/%s-%s", tables, prefix, p) \
          using 1:2 with lines linewidth 1.5 title p
      }
    }
  }
}
