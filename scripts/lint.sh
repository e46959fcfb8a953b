#!/usr/bin/env bash
# Checks the formatting of every source file and runs clang-tidy on every source file that has no
# cached pass (see lint_one.sh).
set -eu
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc')
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 scripts/lint_one.sh
echo "lint: ${#sources[@]} files"
