# Measures how state, messages and processor time grow with the size of a
# fleet; docs/CAPACITY.md is worked out from its output.
add_executable(
  lentilcross_capacity
  tools/capacity/fleet_document.cpp tools/capacity/main.cpp
  tools/capacity/measure_configuration.cpp
  tools/capacity/measure_requests.cpp)
target_include_directories(lentilcross_capacity PRIVATE tools)
target_link_libraries(lentilcross_capacity PRIVATE lentilcross_core)
