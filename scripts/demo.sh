#!/usr/bin/env bash
# Installs missing packages, builds, and runs the main job (demo/main.cc) on local fakes.
set -eu
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
exec build/demo build/anvilcroft build/fakes
