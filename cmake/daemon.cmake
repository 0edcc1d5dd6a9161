# The daemon's modules and the one binary. Stand-ins are separate programs in
# tools/standins and are not part of the product.
find_package(log4cplus REQUIRED)

# Path of a request through one daemon, without sockets, threads or clocks.
add_library(
  lentilcross_pipeline STATIC
  src/call_replies.cpp
  src/data_state.cpp
  src/health_checks.cpp
  src/http_dialect.cpp
  src/http_types.cpp
  src/latency_summary.cpp
  src/log_limiter.cpp
  src/local_targets.cpp
  src/onward_pipeline.cpp
  src/outgoing_calls.cpp
  src/peer_calls.cpp
  src/rate_waits.cpp
  src/request_pipeline.cpp
  src/request_rules.cpp
  src/retry_policy.cpp
  src/target_calls.cpp
  src/target_request.cpp
  src/ticket_calls.cpp)
target_include_directories(lentilcross_pipeline PUBLIC src)
target_link_libraries(lentilcross_pipeline PUBLIC lentilcross_core
                                                  lentilcross_http_message)

add_library(
  lentilcross_daemon STATIC
  src/asio_scheduler.cpp
  src/audit.cpp
  src/control_loop.cpp
  src/daemon.cpp
  src/data_loop.cpp
  src/drain.cpp
  src/http_front.cpp
  src/load_report.cpp
  src/load_run.cpp
  src/logging.cpp
  src/metrics.cpp
  src/operator_server.cpp
  src/peer_handshake.cpp
  src/peer_links.cpp
  src/peer_transport.cpp
  src/platform_client.cpp
  src/settings.cpp
  src/settings_reload.cpp
  src/stats_snapshot.cpp
  src/target_client.cpp)
target_include_directories(lentilcross_daemon PUBLIC src)
target_link_libraries(
  lentilcross_daemon PUBLIC lentilcross_pipeline lentilcross_http
                            log4cplus::log4cplus Threads::Threads)

# What speaks to the users' platform.
add_library(
  lentilcross_platform STATIC
  platform/adapter.cpp
  platform/store_client.cpp
  platform/wire.cpp)
target_include_directories(lentilcross_platform PUBLIC platform)
target_link_libraries(lentilcross_platform PUBLIC lentilcross_daemon)

add_executable(
  lentilcross
  src/command.cpp
  src/command_audit.cpp
  src/command_check.cpp
  src/command_daemon.cpp
  src/command_load.cpp
  src/command_status.cpp
  src/main.cpp)
target_compile_definitions(lentilcross
                           PRIVATE LENTILCROSS_VERSION="${PROJECT_VERSION}")
target_link_libraries(lentilcross PRIVATE lentilcross_platform
                                          cxxopts::cxxopts)
