# libFuzzer targets, with clang only: -DLENTILCROSS_FUZZ=ON. The core is built
# with coverage and AddressSanitizer; scripts/fuzz.sh runs the targets.
if(NOT LENTILCROSS_FUZZ)
  return()
endif()
if(NOT CMAKE_CXX_COMPILER_ID MATCHES "Clang")
  message(FATAL_ERROR "LENTILCROSS_FUZZ needs clang")
endif()

set(fuzz_flags -fsanitize=fuzzer-no-link,address,undefined
               -fno-sanitize-recover=all)
target_compile_options(lentilcross_options INTERFACE ${fuzz_flags})
target_link_options(lentilcross_options INTERFACE ${fuzz_flags})

add_custom_target(fuzz_targets)
file(GLOB fuzz_sources CONFIGURE_DEPENDS tests/fuzz/*_fuzz.cpp)
foreach(source ${fuzz_sources})
  get_filename_component(file ${source} NAME_WE)
  add_executable(${file} EXCLUDE_FROM_ALL ${source})
  target_link_libraries(${file} PRIVATE lentilcross_core)
  target_link_options(${file} PRIVATE -fsanitize=fuzzer)
  add_dependencies(fuzz_targets ${file})
endforeach()
# Only these two modules of the daemon, so that the build stays short.
target_sources(settings_fuzz PRIVATE src/settings.cpp src/logging.cpp)
target_include_directories(settings_fuzz PRIVATE src)
target_link_libraries(settings_fuzz PRIVATE log4cplus::log4cplus
                                            Threads::Threads)
