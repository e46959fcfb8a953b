#!/usr/bin/env bash
# Sets up a fresh machine, builds, and runs the main job on local fakes. It ends by itself.
set -eu
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
exec build/demo build/anvilcroft build/fakes
