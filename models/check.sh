#!/usr/bin/env bash
# Checks every model with all guards on (no violation allowed) and once with each guard off (the
# violation must be found). Prints one line for each run and ends with "N passed, M failed".
set -u
cd "$(dirname "$0")"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# run MODEL GUARD EXPECTED: EXPECTED is "holds" or "violated"; GUARD may be empty.
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
  if [ -z "$errors" ] || printf '%s' "$output" | grep -q 'max search depth too small'; then
    outcome="incomplete"
  elif [ "$errors" = 0 ]; then
    outcome="holds"
  else
    outcome="violated"
  fi
  if [ "$outcome" = "$expected" ]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    printf '%s\n' "$output" | head -n 20
  fi
  printf '%-16s %-22s expected %-8s found %-10s states %s\n' \
    "$model" "${guard:-all guards on}" "$expected" "$outcome" "$states"
}

for file in ${1:-*.pml}; do
  model=${file%.pml}
  run "$model" "" holds
  for guard in $(grep -oE '^ \* (Guards: +|          )NO_[A-Z_]+' "$model.pml" | grep -oE 'NO_[A-Z_]+'); do
    run "$model" "$guard" violated
  done
done
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
