# One-command checks: `cmake --build build --target check-format` and `check-lint`.
file(GLOB_RECURSE checked_files CONFIGURE_DEPENDS
     ${CMAKE_SOURCE_DIR}/include/*.hpp ${CMAKE_SOURCE_DIR}/src/*.[ch]pp
     ${CMAKE_SOURCE_DIR}/platform/*.[ch]pp ${CMAKE_SOURCE_DIR}/standins/*.[ch]pp ${CMAKE_SOURCE_DIR}/bench/*.[ch]pp
     ${CMAKE_SOURCE_DIR}/tests/*.[ch]pp)
add_custom_target(check-format
  COMMAND clang-format --dry-run --Werror ${checked_files} VERBATIM)
add_custom_target(format COMMAND clang-format -i ${checked_files} VERBATIM)
add_custom_target(check-lint
  COMMAND ${CMAKE_SOURCE_DIR}/scripts/lint.sh ${CMAKE_BINARY_DIR} VERBATIM)
