#!/usr/bin/env bash
# Builds the stand-ins of the second review into review/out/2, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target --target anvilcroft fakes_lib
mkdir -p review/out/2
flags="-std=c++17 -O1 -Wall -Wextra -Ireview/standins-2 -I. -DBOOST_COROUTINES_NO_DEPRECATION_WARNING
  -DBOOST_ALLOW_DEPRECATED_HEADERS -DBOOST_BIND_GLOBAL_PLACEHOLDERS"
pids=""
for source in review/standins-2/*.cpp; do
  # shellcheck disable=SC2086
  g++ $flags -c "$source" -o "review/out/2/$(basename "$source" .cpp).o" &
  pids="$pids $!"
done
for pid in $pids; do wait "$pid"; done
g++ -o review/out/2/cases review/out/2/*.o target/libfakes_lib.a target/libanvilcroft_lib.a \
  target/libeasyloggingpp.a -lboost_coroutine -lboost_context -lboost_system -lyaml-cpp -lcrypto -lpthread
