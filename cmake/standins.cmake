# Stand-ins for outside systems, used by tests and scripts/demo.sh. They are
# separate programs and not part of the product.
add_library(lentilcross_standin STATIC tools/standins/peer_hello.cpp
                                       tools/standins/standin.cpp)
target_include_directories(lentilcross_standin PUBLIC tools/standins)
target_link_libraries(lentilcross_standin PUBLIC lentilcross_http
                                                 nlohmann_json::nlohmann_json)

foreach(standin target platform relay)
  add_executable(standin_${standin} tools/standins/standin_${standin}.cpp)
  target_link_libraries(standin_${standin} PRIVATE lentilcross_standin)
endforeach()
target_include_directories(standin_platform PRIVATE src)
target_link_libraries(standin_platform PRIVATE lentilcross_core)
