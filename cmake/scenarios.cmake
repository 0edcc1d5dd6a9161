# Scripted scenarios against real processes. Each tests/scenarios/NAME.scenario
# is one CTest test called scenario_NAME with the label `scenario`.
add_executable(
  lentilcross_scenario
  tools/scenario/child.cpp
  tools/scenario/declarations.cpp
  tools/scenario/expectations.cpp
  tools/scenario/faults.cpp
  tools/scenario/fleet.cpp
  tools/scenario/main.cpp
  tools/scenario/measures.cpp
  tools/scenario/usage.cpp
  tools/scenario/runner.cpp
  tools/scenario/script.cpp
  tools/scenario/waits.cpp)
target_link_libraries(lentilcross_scenario PRIVATE lentilcross_daemon)
add_dependencies(lentilcross_scenario lentilcross standin_target
                 standin_platform standin_relay)

# The bounds of the scenarios are real times, which a sanitizer build with about
# 20 processes does not meet.
if(LENTILCROSS_SANITIZE)
  return()
endif()

file(GLOB scenarios CONFIGURE_DEPENDS tests/scenarios/*.scenario)
foreach(scenario ${scenarios})
  get_filename_component(name ${scenario} NAME_WE)
  add_test(NAME scenario_${name}
           COMMAND lentilcross_scenario ${scenario} ${CMAKE_BINARY_DIR})
  # Each scenario starts about 20 processes.
  set_tests_properties(scenario_${name} PROPERTIES LABELS scenario TIMEOUT 60
                                                   PROCESSORS 3)
endforeach()
