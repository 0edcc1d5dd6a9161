# Small HTTP/1.1 server and client for the operator endpoint, the load command
# and the stand-ins.
add_library(lentilcross_http STATIC src/http_client.cpp src/http_message.cpp
                                    src/http_server.cpp src/tcp_endpoint.cpp)
target_include_directories(lentilcross_http PUBLIC src)
target_link_libraries(lentilcross_http PUBLIC lentilcross_options Boost::headers
                                              Threads::Threads)
