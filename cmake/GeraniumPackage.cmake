# Warnings and sanitizers shared by every target of the workspace.
add_library(geranium_options INTERFACE)
target_compile_options(geranium_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
# GCC 12 reports overlapping copies inside std::string operations that cannot occur.
target_compile_options(geranium_options INTERFACE $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
target_include_directories(geranium_options INTERFACE ${CMAKE_SOURCE_DIR})
if(GERANIUM_SANITIZE)
    target_compile_options(geranium_options INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer)
    target_link_options(geranium_options INTERFACE -fsanitize=address,undefined)
endif()

# geranium_package(NAME SOURCES a.cpp ... LINKS lib ...): one static library of the workspace.
function(geranium_package NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
    add_library(geranium_${NAME} STATIC ${ARG_SOURCES})
    target_link_libraries(geranium_${NAME} PUBLIC geranium_options ${ARG_LINKS})
endfunction()

# geranium_test(NAME SOURCES a.cpp ... LINKS lib ... [LABELS label]): one GoogleTest program, one CTest entry.
function(geranium_test NAME)
    cmake_parse_arguments(ARG "" "LABELS;TIMEOUT" "SOURCES;LINKS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE geranium_options GTest::gtest GTest::gtest_main ${ARG_LINKS})
    add_test(NAME ${NAME} COMMAND ${NAME})
    if(NOT ARG_LABELS)
        set(ARG_LABELS unit)
    endif()
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 300)
    endif()
    set_tests_properties(${NAME} PROPERTIES LABELS ${ARG_LABELS} TIMEOUT ${ARG_TIMEOUT})
endfunction()
