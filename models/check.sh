#!/usr/bin/env bash
# Checks every model with all guards on (no violation allowed) and once with each guard off (an
# assertion must be violated). A macro HOLE_... removes an exception for a known fault of the
# design; while the model has the exception, an assertion must be violated without it. Runs two
# checks at a time, prints one line for each, and ends with "N passed, M failed". With an argument
# (FILE.pml), checks only that model.
set -u
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
count=0

# run MODEL GUARD EXPECTED: runs one check. EXPECTED is "holds" or "violated"; GUARD may be empty.
# Creates the file $result.passed or $result.failed.
run() {
  local model=$1 guard=$2 expected=$3 define="" folder output errors states outcome
  [ -n "$guard" ] && define="-D$guard"
  folder="$work/$model-$guard"
  mkdir -p "$folder"
  # shellcheck disable=SC2086
  (cd "$folder" && spin $define -a "$OLDPWD/$model.pml" >spin.log 2>&1 &&
    gcc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -w -o pan pan.c) || { cat "$folder/spin.log"; }
  output=$( (cd "$folder" && ./pan -m1000000 -n 2>&1) )
  errors=$(printf '%s\n' "$output" | sed -n 's/.*errors: \([0-9]*\).*/\1/p')
  states=$(printf '%s\n' "$output" | sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p')
  if [ -z "$errors" ] || printf '%s' "$output" | grep -qE 'max search depth too small|out of memory'; then
    outcome="incomplete"
  elif [ "$errors" = 0 ]; then
    outcome="holds"
  elif printf '%s' "$output" | grep -q 'invalid end state (at'; then
    outcome="deadlock"
  else
    outcome="violated"
  fi
  rm -rf "$folder"
  if [ "$outcome" = "$expected" ]; then
    touch "$result.passed"
  else
    touch "$result.failed"
    printf '%s\n' "$output" | head -n 20
  fi
  printf '%-16s %-22s expected %-8s found %-10s states %s\n' \
    "$model" "${guard:-all guards on}" "$expected" "$outcome" "$states"
}

# start MODEL GUARD EXPECTED: calls run in the background as soon as fewer than two checks run.
start() {
  count=$((count + 1))
  while [ "$(jobs -rp | wc -l)" -ge 2 ]; do wait -n; done
  result="$work/$(printf '%03d' "$count")"
  run "$@" >"$result.log" 2>&1 &
}

for file in ${1:-*.pml}; do
  model=${file%.pml}
  start "$model" "" holds
  for guard in $(grep -oE '^ \* (Guards: +|Known: +|          )(NO|HOLE)_[A-Z_]+' "$model.pml" |
    grep -oE '(NO|HOLE)_[A-Z_]+'); do
    start "$model" "$guard" violated
  done
done
wait
cat "$work"/*.log
passed=$(find "$work" -name '*.passed' | wc -l)
failed=$((count - passed))
echo "$passed passed, $failed failed"
[ "$count" -gt 0 ] && [ "$failed" = 0 ]
