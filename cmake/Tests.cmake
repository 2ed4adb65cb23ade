if(BUILD_TESTING)
  find_package(Catch2 2 REQUIRED)
  add_library(gooseberrygap_test_main STATIC
              ${PROJECT_SOURCE_DIR}/tests/support/test_main.cc)
  target_link_libraries(gooseberrygap_test_main PUBLIC Catch2::Catch2)
endif()

# Adds one CTest entry for each label. The entry runs the cases of the program
# that have the label as a Catch2 tag, and fails when there are none.
function(gooseberrygap_add_labelled_tests program)
  foreach(label IN LISTS ARGN)
    add_test(NAME ${program}.${label} COMMAND ${program} "[${label}]" -w NoTests
                                              --durations yes)
    set_tests_properties(${program}.${label} PROPERTIES LABELS ${label}
                                                        TIMEOUT 300)
  endforeach()
endfunction()

# Adds the unit tests of a layer, every tests/*_test.cc, with the label "unit".
# Each further argument is the label of one guarantee and adds a CTest entry for
# the cases tagged with it.
function(gooseberrygap_add_layer_tests layer)
  if(NOT BUILD_TESTING)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/tests/*_test.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${layer}_tests ${sources})
  target_link_libraries(${layer}_tests PRIVATE gooseberrygap_${layer}
                                               gooseberrygap_test_main)
  add_test(NAME ${layer}_tests COMMAND ${layer}_tests -w NoTests)
  set_tests_properties(${layer}_tests PROPERTIES LABELS unit TIMEOUT 120)
  gooseberrygap_add_labelled_tests(${layer}_tests ${ARGN})
endfunction()
