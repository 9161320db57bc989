# Functions with which the packages of the workspace declare their targets.

add_library(basilsill_options INTERFACE)
# gcc 12 reports a false mismatch of operator new and delete for an inlined
# asio::awaitable frame.
target_compile_options(basilsill_options INTERFACE
  -Wall -Wextra -Werror -Wno-mismatched-new-delete
  $<$<CONFIG:RelWithDebInfo>:-O2 -g1 -UNDEBUG>
  $<$<CONFIG:Release>:-O2>)
target_compile_definitions(basilsill_options INTERFACE
  BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_BOOST_COROUTINE)
if(BASILSILL_SANITIZE)
  # In instrumented code, gcc 12 falsely reports an empty boost::optional as read
  # uninitialized. The release preset keeps the warning.
  target_compile_options(basilsill_options INTERFACE
    -fsanitize=${BASILSILL_SANITIZE} -fno-sanitize-recover=all
    -fno-omit-frame-pointer -Wno-error=tsan -Wno-tsan
    -Wno-maybe-uninitialized)
  target_link_options(basilsill_options INTERFACE
    -fsanitize=${BASILSILL_SANITIZE})
endif()

# basilsill_source_folders(RESULT)
# Sets RESULT to src/ and the folders in it, one a subject, which large packages
# have.
function(basilsill_source_folders RESULT)
  file(GLOB entries LIST_DIRECTORIES true CONFIGURE_DEPENDS src/*)
  set(folders ${CMAKE_CURRENT_SOURCE_DIR}/src)
  foreach(entry ${entries})
    if(IS_DIRECTORY ${entry})
      list(APPEND folders ${entry})
    endif()
  endforeach()
  set(${RESULT} ${folders} PARENT_SCOPE)
endfunction()

# basilsill_package(NAME DEPS ...)
# Declares a static library `basilsill_NAME` with its public headers in include/
# and its sources and private headers in src/ and its folders: every .cc there
# except main.cc.
function(basilsill_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cc src/*/*.cc)
  list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
  basilsill_source_folders(folders)
  add_library(basilsill_${NAME} STATIC ${sources})
  target_include_directories(basilsill_${NAME}
    PUBLIC include PRIVATE ${folders})
  target_include_directories(basilsill_${NAME} SYSTEM
    PUBLIC ${Boost_INCLUDE_DIRS})
  target_link_libraries(basilsill_${NAME}
    PUBLIC basilsill_options ${ARG_DEPS})
endfunction()

# basilsill_test(NAME SOURCES ... DEPS ...)
# Declares a CppUTest program that runs as one ctest test named NAME.
function(basilsill_test NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES}
    ${PROJECT_SOURCE_DIR}/packages/base/test/test_main.cc)
  basilsill_source_folders(folders)
  target_include_directories(${NAME} PRIVATE ${folders} test)
  target_link_libraries(${NAME}
    PRIVATE basilsill_options ${ARG_DEPS} PkgConfig::CPPUTEST
    Threads::Threads)
  add_test(NAME ${NAME} COMMAND ${NAME})
  set_tests_properties(${NAME} PROPERTIES TIMEOUT 120)
endfunction()
