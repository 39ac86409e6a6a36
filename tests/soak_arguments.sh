#!/usr/bin/env bash
# zinclead-soak exits with 2 for unusable arguments and names the one at fault.
# Usage: soak_arguments.sh PROGRAM
set -u
soak=$1
passed=0
failed=0
expect() {
  local text=$1
  shift
  output=$("$soak" "$@" 2>&1)
  status=$?
  if [ "$status" -eq 2 ] && [[ "$output" == *"$text"* ]]; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $* exits with $status: $output"
  fi
}
expect "--seed"
expect "--seed" --seed seven
expect "meteor" --seed 1 --faults meteor
expect "/no/such/program" --seed 1 --program /no/such/program
expect "--machines" --seed 1 --machines 0
expect "--sockets" --seed 1 --sockets many
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
