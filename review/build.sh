#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/out/, from the project's own libraries in target/.
set -eu
cd "$(dirname "$0")/.."
[ -f target/CMakeCache.txt ] || cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target --target anvilcroft fakes_lib
mkdir -p review/out
flags="-std=c++17 -O2 -Wall -Wextra -I. -DBOOST_COROUTINES_NO_DEPRECATION_WARNING
  -DBOOST_ALLOW_DEPRECATED_HEADERS -DBOOST_BIND_GLOBAL_PLACEHOLDERS"
libraries="target/libfakes_lib.a target/libanvilcroft_lib.a target/libeasyloggingpp.a
  -lboost_coroutine -lboost_context -lboost_system -lyaml-cpp -lcrypto -lpthread"
# shellcheck disable=SC2086
g++ $flags -c review/standins/site.cpp -o review/out/site.o
for source in review/[1-5]/case.cpp; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  g++ $flags "$source" review/out/site.o -o "review/out/case$number" $libraries
done
