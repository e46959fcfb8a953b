#!/bin/sh
# Builds the stand-ins of the third review into target/review-3/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake --build target --target fakes_lib
mkdir -p target/review-3
for name in ended_job turns; do
  c++ -std=c++17 -O2 -I. -DBOOST_COROUTINES_NO_DEPRECATION_WARNING -DBOOST_ALLOW_DEPRECATED_HEADERS \
    -DBOOST_BIND_GLOBAL_PLACEHOLDERS -o "target/review-3/$name" \
    "review/standins-3/$name.cpp" review/standins-3/site.cpp \
    target/libfakes_lib.a target/libanvilcroft_lib.a target/libeasyloggingpp.a \
    -lboost_coroutine -lboost_context -lboost_system -lcrypto -lyaml-cpp -lpthread
done
