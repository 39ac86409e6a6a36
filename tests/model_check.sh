#!/usr/bin/env bash
# Checks models/admission.pml with Spin: the assertions and the liveness property must hold, and the
# checker must find a violation in each variant without one of the guards.
# Usage: model_check.sh MODEL WORK_DIR
set -euo pipefail
model=$(realpath "$1")
mkdir -p "$2"
cd "$2"

# Prints "held", "broken" or "unfinished" for the model built with the given macros.
verdict() {
  local kind=$1
  shift
  rm -f pan pan.* admission.pml.trail
  timeout 20 spin -a "$@" "$model" > spin.log
  local build=(-DSAFETY -DNOCLAIM) search=()
  [ "$kind" = liveness ] && build=(-DNFAIR=4) && search=(-a -f)
  gcc -O2 -w -DMEMLIM=1024 "${build[@]}" -o pan pan.c
  # A property holds only if the search visited every state; a truncated search proves nothing.
  timeout 60 ./pan -m1000000 "${search[@]}" > pan.log
  if grep -q 'errors: 0' pan.log && ! grep -q 'Search not completed\|max search depth too small' pan.log; then
    echo held
  elif grep -q 'errors: [1-9]' pan.log; then
    echo broken
  else
    echo unfinished
  fi
}

failed=0
expect() {
  local wanted=$1 kind=$2
  shift 2
  local got
  got=$(verdict "$kind" "$@")
  printf '%-9s %-28s %s (%s states)\n' "$kind" "${*:-as designed}" "$got" \
    "$(sed -n 's/^ *\([0-9e+.]*\) states, stored.*/\1/p' pan.log | head -n 1)"
  if [ "$got" != "$wanted" ]; then
    echo "expected: $wanted"
    cat pan.log
    failed=1
  fi
}

expect held safety
expect held liveness
expect broken safety -DBREAK_FENCE
expect broken safety -DBREAK_DURABLE
expect broken safety -DBREAK_LOAD
expect broken liveness -DBREAK_TRICKLE
exit "$failed"
