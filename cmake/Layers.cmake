# The layers from top to bottom. A layer links only layers listed after it.
set(GOOSEBERRYGAP_LAYERS transport protocol coordination state)

# Adds the library of one layer from all sources in its folder internal/. Its
# public header is src/NAME/NAME.h.
function(gooseberrygap_add_layer name)
  file(GLOB sources CONFIGURE_DEPENDS
       ${CMAKE_CURRENT_SOURCE_DIR}/internal/*.cc)
  add_library(gooseberrygap_${name} STATIC ${sources})
  target_include_directories(
    gooseberrygap_${name}
    PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/src>
           $<INSTALL_INTERFACE:include/gooseberrygap>)
endfunction()

# Fails the configuration when a layer links a layer above it, or when a file
# includes a header of another layer that is not that layer's public header.
function(gooseberrygap_check_layers)
  set(above "")
  foreach(layer IN LISTS GOOSEBERRYGAP_LAYERS)
    get_target_property(libraries gooseberrygap_${layer} LINK_LIBRARIES)
    foreach(upper IN LISTS above)
      if("gooseberrygap_${upper}" IN_LIST libraries)
        message(FATAL_ERROR "Layer ${layer} links layer ${upper}, which is "
                            "above it. Move the shared code to a lower layer "
                            "or reverse the dependency.")
      endif()
    endforeach()
    list(APPEND above ${layer})
  endforeach()
  execute_process(
    COMMAND ${PROJECT_SOURCE_DIR}/tools/check_layers ${PROJECT_SOURCE_DIR}
    RESULT_VARIABLE result)
  if(NOT result EQUAL 0)
    message(FATAL_ERROR "tools/check_layers failed; its output names the files.")
  endif()
endfunction()
