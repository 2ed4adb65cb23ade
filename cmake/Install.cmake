# Installs the programs, the libraries with their public headers, and a CMake
# package for programs that embed the libraries.
include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

set(package_dir ${CMAKE_INSTALL_LIBDIR}/cmake/gooseberrygap)

install(TARGETS gooseberrygapd gooseberrygapctl)
foreach(layer IN LISTS GOOSEBERRYGAP_LAYERS)
  set_target_properties(gooseberrygap_${layer} PROPERTIES EXPORT_NAME ${layer})
  install(FILES src/${layer}/${layer}.h
          DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/gooseberrygap/${layer})
  install(DIRECTORY src/${layer}/api
          DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/gooseberrygap/${layer})
  install(TARGETS gooseberrygap_${layer} EXPORT gooseberrygap-targets)
endforeach()
install(TARGETS gooseberrygap_httplib EXPORT gooseberrygap-targets)
install(
  EXPORT gooseberrygap-targets
  NAMESPACE gooseberrygap::
  DESTINATION ${package_dir})
configure_package_config_file(
  cmake/gooseberrygap-config.cmake.in
  ${PROJECT_BINARY_DIR}/gooseberrygap-config.cmake
  INSTALL_DESTINATION ${package_dir})
install(FILES ${PROJECT_BINARY_DIR}/gooseberrygap-config.cmake
        DESTINATION ${package_dir})
