#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review/, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/CMakeCache.txt ] || cmake -S . -B target -DCMAKE_BUILD_TYPE=Release
cmake --build target -j8 --target chicorywickd chicorywick_adapter
mkdir -p target/review
sources=(review/standin/*.cpp tests/hosted/loopback_proxy.cpp)
includes=(-I. -Ipackages/base/include -Ipackages/http/include -Ipackages/scheduler/include -Ipackages/entry/include)
g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers "${includes[@]}" "${sources[@]}" -o target/review/standin \
  target/platform/libchicorywick_adapter.a target/packages/http/libchicorywick_http.a \
  target/packages/base/libchicorywick_base.a -lnettle -lglog -pthread
