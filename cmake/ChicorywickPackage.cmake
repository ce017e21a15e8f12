# chicorywick_package(<name> DEPS <packages...> LIBS <libraries...>)
# Builds the library target chicorywick::<name> and, if src/ contains *_test.cpp files, the program <name>_tests.

# g++ 12 reports false maybe-uninitialized warnings for std::optional of types that hold a std::variant.
# At -O3 it also reports false restrict warnings for std::string (GCC bug 105651).
set(CHICORYWICK_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Wno-missing-field-initializers
  -Wno-maybe-uninitialized -Wno-restrict -Werror)

add_library(chicorywick_options INTERFACE)
target_compile_options(chicorywick_options INTERFACE ${CHICORYWICK_WARNINGS})
if(CHICORYWICK_SANITIZE)
  target_compile_options(chicorywick_options INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer)
  target_link_options(chicorywick_options INTERFACE -fsanitize=address,undefined)
endif()

add_library(chicorywick_test_main STATIC ${CMAKE_SOURCE_DIR}/cmake/test_main.cpp)
target_link_libraries(chicorywick_test_main PUBLIC glog::glog)

function(chicorywick_package name)
  cmake_parse_arguments(ARG "" "" "DEPS;LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")

  add_library(chicorywick_${name} STATIC ${sources})
  add_library(chicorywick::${name} ALIAS chicorywick_${name})
  set_target_properties(chicorywick_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(chicorywick_${name}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:include>
    PRIVATE src)
  foreach(dep IN LISTS ARG_DEPS)
    target_link_libraries(chicorywick_${name} PUBLIC chicorywick_${dep})
  endforeach()
  target_link_libraries(chicorywick_${name} PUBLIC ${ARG_LIBS} Threads::Threads)
  target_link_libraries(chicorywick_${name} PRIVATE $<BUILD_INTERFACE:chicorywick_options>)

  if(tests)
    add_executable(${name}_tests ${tests})
    target_include_directories(${name}_tests PRIVATE src)
    target_link_libraries(${name}_tests PRIVATE chicorywick_${name} chicorywick_test_main chicorywick_options)
    add_test(NAME ${name}_tests COMMAND ${name}_tests)
    set_tests_properties(${name}_tests PROPERTIES TIMEOUT 300)
  endif()
endfunction()
