#!/usr/bin/env bash
# Sets up a fresh machine, then checks format and lint, builds, runs all tests and checks the models.
set -eu
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh
scripts/lint.sh
ctest --test-dir build --output-on-failure --parallel 8
models/check.sh
