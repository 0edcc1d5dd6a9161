# Measurements of the core in virtual time, and of the time of one decision.
add_library(
  lentilcross_bench_parts STATIC
  tools/bench/caller.cpp
  tools/bench/deployment.cpp
  tools/bench/fake_target.cpp
  tools/bench/load.cpp
  tools/bench/measures.cpp
  tools/bench/node.cpp
  tools/bench/scenario.cpp
  tools/bench/world.cpp)
target_include_directories(lentilcross_bench_parts PUBLIC tools/bench)
target_link_libraries(lentilcross_bench_parts PUBLIC lentilcross_core)

add_executable(lentilcross_bench tools/bench/main.cpp)
target_link_libraries(
  lentilcross_bench PRIVATE lentilcross_bench_parts cxxopts::cxxopts
                            Threads::Threads)

add_executable(decision_benchmark tools/bench/decision_benchmark.cpp)
target_link_libraries(decision_benchmark PRIVATE lentilcross_bench_parts
                                                 benchmark::benchmark)
