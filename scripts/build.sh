#!/usr/bin/env bash
# Builds everything into build/.
set -eu
cd "$(dirname "$0")/.."
CCACHE_BASEDIR=$(pwd)
export CCACHE_BASEDIR CCACHE_NOHASHDIR=1
cmake -S . -B build -G Ninja >build-configure.log 2>&1 || { cat build-configure.log; exit 1; }
rm -f build-configure.log
ninja -C build --quiet
