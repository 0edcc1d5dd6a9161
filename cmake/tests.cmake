# Each tests/NAME_test.cpp is one program and one CTest test called NAME. Those
# in tests/daemon link the daemon's modules too.
enable_testing()

function(lentilcross_add_test source)
  get_filename_component(file ${source} NAME_WE)
  string(REGEX REPLACE "_test$" "" name ${file})
  add_executable(${file} ${source})
  target_include_directories(${file} PRIVATE ${CMAKE_SOURCE_DIR}/src
                                             ${CMAKE_SOURCE_DIR}/tests
                                             ${CMAKE_SOURCE_DIR}/tools)
  target_compile_definitions(
    ${file} PRIVATE BOOST_TEST_DYN_LINK
                    BOOST_TEST_MODULE=${name})
  # Only where it is used: ccache finds no object of another checkout whose
  # command line holds the path of that checkout.
  file(STRINGS ${source} uses_source_dir REGEX TEST_SOURCE_DIR LIMIT_COUNT 1)
  if(uses_source_dir)
    target_compile_definitions(
      ${file} PRIVATE TEST_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  endif()
  target_link_libraries(${file} PRIVATE ${ARGN} lentilcross_core rapidcheck
                                        Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${file})
  # A fixed seed, so that every run gives the same verdict.
  set_tests_properties(${name} PROPERTIES TIMEOUT 120 ENVIRONMENT
                                          "RC_PARAMS=seed=20261204")
endfunction()

file(GLOB core_tests CONFIGURE_DEPENDS tests/*_test.cpp)
list(FILTER core_tests EXCLUDE REGEX "(fault_matrix|fault_pairs|onward_context|peer_calls|shedding_order)_test")
foreach(source ${core_tests})
  lentilcross_add_test(${source})
endforeach()

# The request path and the control classes of the daemon on fakes, in virtual
# time.
file(GLOB matrix_sources CONFIGURE_DEPENDS tests/matrix/*.cpp)
add_library(lentilcross_matrix STATIC ${matrix_sources})
target_include_directories(lentilcross_matrix PRIVATE ${CMAKE_SOURCE_DIR}/src
                                                      ${CMAKE_SOURCE_DIR}/tests)
target_link_libraries(lentilcross_matrix PUBLIC lentilcross_pipeline
                                                lentilcross_core)
lentilcross_add_test(tests/fault_matrix_test.cpp lentilcross_matrix)
lentilcross_add_test(tests/fault_pairs_test.cpp lentilcross_matrix)
# 6 s in a plain build, 68 s with AddressSanitizer.
set_tests_properties(fault_pairs PROPERTIES TIMEOUT 300)
lentilcross_add_test(tests/peer_calls_test.cpp lentilcross_pipeline)
lentilcross_add_test(tests/onward_context_test.cpp lentilcross_matrix)
lentilcross_add_test(tests/shedding_order_test.cpp lentilcross_matrix)

if(TARGET lentilcross_daemon)
  # Fakes and running daemons that these tests share.
  add_library(lentilcross_daemon_testing STATIC tests/daemon/fakes.cpp
                                                tests/daemon/fleet.cpp
                                                tests/daemon/raw_peer.cpp
                                                tests/daemon/relay.cpp)
  target_include_directories(lentilcross_daemon_testing
                             PUBLIC ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(lentilcross_daemon_testing PUBLIC lentilcross_daemon)
  add_executable(loopback_latency tools/bench/loopback_latency.cpp)
  target_link_libraries(loopback_latency PRIVATE lentilcross_daemon_testing)
  file(GLOB daemon_tests CONFIGURE_DEPENDS tests/daemon/*_test.cpp)
  foreach(source ${daemon_tests})
    lentilcross_add_test(${source} lentilcross_daemon_testing)
  endforeach()
endif()

if(TARGET lentilcross_platform)
  add_library(lentilcross_platform_testing STATIC tests/platform/fake_store.cpp)
  target_include_directories(lentilcross_platform_testing
                             PUBLIC ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(lentilcross_platform_testing
                        PUBLIC lentilcross_platform lentilcross_daemon_testing)
  file(GLOB platform_tests CONFIGURE_DEPENDS tests/platform/*_test.cpp)
  foreach(source ${platform_tests})
    lentilcross_add_test(${source} lentilcross_platform_testing)
  endforeach()
endif()

if(TARGET lentilcross)
  add_test(NAME command COMMAND ${CMAKE_SOURCE_DIR}/tests/command_test.sh
                                $<TARGET_FILE:lentilcross>)
  set_tests_properties(command PROPERTIES TIMEOUT 120)
endif()

if(TARGET standin_target)
  add_test(NAME standin COMMAND ${CMAKE_SOURCE_DIR}/tests/standin_test.sh
                                ${CMAKE_BINARY_DIR})
  set_tests_properties(standin PROPERTIES TIMEOUT 60)
endif()
