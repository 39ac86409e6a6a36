#!/usr/bin/env bash
# Builds the stand-ins and the cases 4 to 8 into target/review-2. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -Werror -pthread -Ireview/standins-2)
pids=()
for part in net world case; do
  g++ "${flags[@]}" -c "review/standins-2/$part.cc" -o "$out/$part.o" &
  pids+=($!)
done
for source in review/[4-8]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" -c "$source" -o "$out/case-$number.o" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for source in review/[4-8]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -pthread -o "$out/case-$number" "$out/case-$number.o" "$out/case.o" "$out/world.o" "$out/net.o"
done
