# The daemon's modules and the one binary. Stand-ins are separate programs in
# tools/standins and are not part of the product.
add_library(
  lentilcross_daemon STATIC
  src/call_replies.cpp
  src/control_loop.cpp
  src/daemon.cpp
  src/data_loop.cpp
  src/data_state.cpp
  src/drain.cpp
  src/http_front.cpp
  src/http_types.cpp
  src/onward_pipeline.cpp
  src/outgoing_calls.cpp
  src/peer_calls.cpp
  src/peer_handshake.cpp
  src/peer_links.cpp
  src/peer_transport.cpp
  src/platform_client.cpp
  src/rate_waits.cpp
  src/request_pipeline.cpp
  src/request_rules.cpp
  src/retry_policy.cpp
  src/stats_snapshot.cpp
  src/target_calls.cpp
  src/target_client.cpp
  src/ticket_calls.cpp)
target_include_directories(lentilcross_daemon PUBLIC src)
target_link_libraries(lentilcross_daemon PUBLIC lentilcross_core
                                                lentilcross_http
                                                Threads::Threads)
