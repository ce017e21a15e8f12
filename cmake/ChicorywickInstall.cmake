# Installs the packages that other programs can embed, with a package config for find_package(chicorywick).
include(CMakePackageConfigHelpers)
set(CHICORYWICK_INSTALLED_TARGETS chicorywick_httplib)
set_target_properties(chicorywick_httplib PROPERTIES EXPORT_NAME httplib)
foreach(package IN ITEMS base proto twirp platform cluster serving)
  if(TARGET chicorywick_${package})
    list(APPEND CHICORYWICK_INSTALLED_TARGETS chicorywick_${package})
    if(EXISTS ${CMAKE_SOURCE_DIR}/packages/${package}/include)
      install(DIRECTORY ${CMAKE_SOURCE_DIR}/packages/${package}/include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
    endif()
  endif()
endforeach()
install(DIRECTORY ${CMAKE_SOURCE_DIR}/packages/proto/generated/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
  FILES_MATCHING PATTERN "*.h")
install(TARGETS ${CHICORYWICK_INSTALLED_TARGETS} EXPORT chicorywickTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})

set(CHICORYWICK_CMAKE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/chicorywick)
install(EXPORT chicorywickTargets NAMESPACE chicorywick:: DESTINATION ${CHICORYWICK_CMAKE_DIR})
configure_package_config_file(${CMAKE_SOURCE_DIR}/cmake/chicorywickConfig.cmake.in
  ${CMAKE_BINARY_DIR}/chicorywickConfig.cmake INSTALL_DESTINATION ${CHICORYWICK_CMAKE_DIR})
write_basic_package_version_file(${CMAKE_BINARY_DIR}/chicorywickConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/chicorywickConfig.cmake ${CMAKE_BINARY_DIR}/chicorywickConfigVersion.cmake
  DESTINATION ${CHICORYWICK_CMAKE_DIR})
