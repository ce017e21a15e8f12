#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review/, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -I. -Ireview/standin-2 -Ipackages/base/include -Ipackages/http/include \
  review/standin-2/*.cpp platform/base64.cpp \
  target/packages/http/libchicorywick_http.a target/packages/base/libchicorywick_base.a \
  -lnettle -lglog -lxxhash -lpthread -o target/review/review-cases-2
