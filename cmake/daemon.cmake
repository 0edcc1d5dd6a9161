# The daemon's modules and the one binary. Stand-ins are separate programs in
# tools/standins and are not part of the product.
find_package(log4cplus REQUIRED)

add_library(
  lentilcross_daemon STATIC
  src/audit.cpp
  src/latency_summary.cpp
  src/load_report.cpp
  src/load_run.cpp
  src/logging.cpp
  src/metrics.cpp
  src/operator_server.cpp
  src/settings.cpp)
target_include_directories(lentilcross_daemon PUBLIC src)
target_link_libraries(lentilcross_daemon PUBLIC lentilcross_core lentilcross_http
                                                log4cplus::log4cplus)

if(EXISTS ${CMAKE_SOURCE_DIR}/src/daemon.cpp)
  target_sources(lentilcross_daemon PRIVATE src/daemon.cpp)
  add_executable(
    lentilcross
    src/command.cpp
    src/command_audit.cpp
    src/command_check.cpp
    src/command_daemon.cpp
    src/command_load.cpp
    src/command_status.cpp
    src/main.cpp)
  target_compile_definitions(
    lentilcross PRIVATE LENTILCROSS_VERSION="${PROJECT_VERSION}")
  target_link_libraries(lentilcross PRIVATE lentilcross_daemon cxxopts::cxxopts)
endif()
