# All libraries come from Debian packages; tools/setup installs them.
find_package(Threads REQUIRED)
find_package(Protobuf REQUIRED)
find_package(glog REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(ZLIB REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
pkg_check_modules(POPT REQUIRED IMPORTED_TARGET popt)
pkg_check_modules(URCU REQUIRED IMPORTED_TARGET liburcu-memb)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_library(HTTPLIB_LIBRARY NAMES cpp-httplib REQUIRED)
pkg_check_modules(HTTPLIB REQUIRED cpp-httplib)

# cpp-httplib's class layout depends on the macros that Debian built it with (Cflags in its .pc file).
# Without them, Request, ClientImpl and Client have another layout than in the library.
add_library(chicorywick_httplib INTERFACE)
target_link_libraries(chicorywick_httplib INTERFACE ${HTTPLIB_LIBRARY} Threads::Threads)
target_compile_options(chicorywick_httplib INTERFACE ${HTTPLIB_CFLAGS})
