#!/usr/bin/env bash
# Runs clang-tidy on one file unless it already passed with the same configuration and headers.
set -eu
cd "$(dirname "$0")/.."
cache=${XDG_CACHE_HOME:-$HOME/.cache}/anvilcroft-lint
mkdir -p "$cache"
key=$( { cat .clang-tidy "$1"; git ls-files --cached --others --exclude-standard '*.h' | sort | xargs cat; } | sha256sum | cut -d' ' -f1)
[ -e "$cache/$key" ] && exit 0
output=$(clang-tidy --quiet -p build "$1" 2>/dev/null) || { printf '%s\n' "$output"; exit 1; }
touch "$cache/$key"
