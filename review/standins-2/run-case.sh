#!/usr/bin/env bash
# Plays case number $1: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case-$1
command=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)
if [ ! -x "$program" ] || [ -z "$command" ] || [ ! -x "${command%% *}" ]; then
  echo "not built: run the build of the deploy file and review/build-2.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
# The controllers end with the program that started them.
# shellcheck disable=SC2086
timeout --signal=KILL 119 "$program" "review/$1/record.txt" "$folder" $command
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
