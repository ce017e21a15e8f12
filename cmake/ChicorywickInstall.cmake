# Installed: the two binaries and the packages that other programs can embed.
set(CHICORYWICK_INSTALLED_PACKAGES)
foreach(package IN ITEMS base proto platform cluster serving)
  if(TARGET chicorywick_${package})
    list(APPEND CHICORYWICK_INSTALLED_PACKAGES chicorywick_${package})
    install(DIRECTORY ${CMAKE_SOURCE_DIR}/packages/${package}/include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  endif()
endforeach()
