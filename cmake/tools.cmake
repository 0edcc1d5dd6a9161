# Programs for measurements in virtual time, and the simulations that they share
# with tests. Not part of the product.
add_library(rate_fleet STATIC tools/rate_compare/rate_fleet.cpp)
target_include_directories(rate_fleet PUBLIC tools/rate_compare
                                             ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(rate_fleet PUBLIC lentilcross_core)

if(TARGET rate_book_test)
  target_link_libraries(rate_book_test PRIVATE rate_fleet)
  target_link_libraries(fleet_test PRIVATE rate_fleet)
  target_link_libraries(rate_scale_test PRIVATE rate_fleet)
endif()

add_executable(rate_compare tools/rate_compare/rate_compare.cpp
                            tools/rate_compare/other_policies.cpp)
target_link_libraries(rate_compare PRIVATE rate_fleet cxxopts::cxxopts)

add_executable(rate_scale tools/rate_compare/rate_scale.cpp)
target_link_libraries(rate_scale PRIVATE rate_fleet cxxopts::cxxopts)
