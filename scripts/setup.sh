#!/usr/bin/env bash
# Installs the packages that the build and the tests need.
set -eu
packages="g++ cmake ninja-build ccache clang-format clang-tidy git spin
  libboost-dev libboost-coroutine-dev libboost-context-dev libboost-system-dev
  libwebsocketpp-dev libtclap-dev libeasyloggingpp-dev libexpected-dev catch2
  libyaml-cpp-dev nlohmann-json3-dev libssl-dev"
missing=""
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
if [ -n "$missing" ]; then
  apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends $missing >/dev/null
fi
