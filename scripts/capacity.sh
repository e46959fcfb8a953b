#!/usr/bin/env bash
# Runs the benchmarks behind docs/CAPACITY.md on this machine and prints one line of JSON for each
# run. Requires a build. The largest scenario runs 120 instances; every scenario uses far less than
# half of 32 GiB of memory.
#
#   scripts/capacity.sh [RUNS]      RUNS: runs of each control scenario, default 2
set -eu
cd "$(dirname "$0")/.."
runs=${1:-2}
bench() { build/anvilcroft_bench "$1" build/anvilcroft build/fakes "${@:2}"; }
for scenario in "4 100 1" "12 100 1" "48 100 1" "120 100 1" "12 500 1" "12 2100 1" "120 2100 1" \
  "12 100 20" "12 100 100"; do
  for _ in $(seq "$runs"); do
    # shellcheck disable=SC2086
    bench control $scenario 10
  done
done
for scenario in "8 4" "16 8" "32 8" "64 16" "64 64"; do
  # shellcheck disable=SC2086
  bench weights $scenario
done
bench load
