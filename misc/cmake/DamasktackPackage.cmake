# damasktack_package(NAME [LINK targets...]): one static library for the calling folder.
# Sources are found by glob so that adding a class needs no edit here.
function(damasktack_package name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  list(FILTER sources EXCLUDE REGEX "_main\\.cc$")
  add_library(damasktack_${name} STATIC ${sources})
  target_include_directories(damasktack_${name} PUBLIC ${CMAKE_SOURCE_DIR})
  # Boost.Asio's coroutine frames make g++ 12 report a mismatch that is none.
  target_compile_options(damasktack_${name} PRIVATE
                         -Wall -Wextra $<$<BOOL:${DAMASKTACK_DEVELOPMENT}>:-Werror>
                         -Wno-mismatched-new-delete)
  target_link_libraries(damasktack_${name} PUBLIC ${ARG_LINK})
endfunction()

# damasktack_test(NAME [LINK targets...]): the one test program of a package, from tests/NAME/*.cc.
function(damasktack_test name)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  add_executable(${name}_tests ${sources} test_main.cc)
  target_compile_options(${name}_tests PRIVATE -Wall -Wextra -Wno-mismatched-new-delete)
  target_include_directories(${name}_tests PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries(${name}_tests PRIVATE ${ARG_LINK} rapidcheck)
  target_compile_definitions(${name}_tests PRIVATE DAMASKTACK_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  add_test(NAME ${name} COMMAND ${name}_tests)
  set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261202" TIMEOUT 300)
endfunction()
