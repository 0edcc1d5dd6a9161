# Each examples/NN-name/main.cpp is a program example-NN-name and a CTest test
# of the same name. It gets a sample configuration as its argument.
file(GLOB example_sources CONFIGURE_DEPENDS examples/*/main.cpp)
foreach(source ${example_sources})
  get_filename_component(folder ${source} DIRECTORY)
  get_filename_component(name ${folder} NAME)
  add_executable(example-${name} ${source})
  target_link_libraries(example-${name} PRIVATE lentilcross_core)
  add_test(NAME example-${name}
           COMMAND example-${name}
                   ${CMAKE_SOURCE_DIR}/examples/configurations/cedarhoop.jsonc)
  set_tests_properties(example-${name} PROPERTIES TIMEOUT 30)
endforeach()
